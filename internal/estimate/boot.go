package estimate

// UsualBootFactor is the multiple of its type's boot time within which a machine usually boots.
const UsualBootFactor = 1.6
