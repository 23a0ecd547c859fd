package estimate

// UsualBootFactor is how many times the boot time of its type a machine usually takes at most.
const UsualBootFactor = 1.6
