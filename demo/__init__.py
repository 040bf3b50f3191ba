"""Starts a mesh on the local machine and moves a service (``make demo``)."""
