"""Drive comfreyarch from the command line of an operator."""
