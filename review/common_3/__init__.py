"""What the cases of the third review share: a small deployment and its stand-ins."""
