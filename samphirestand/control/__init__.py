"""The configuration that operators control: changes, history, audit."""
