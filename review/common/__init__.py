"""Stand-ins and clients that the review's scripts share."""
