"""`mode` services that execute the effects of the reducers."""
