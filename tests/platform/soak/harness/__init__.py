"""Stand-ins, faults and checks of the soak test."""
