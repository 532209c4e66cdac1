/**
 * Bound on the inputs that wait for the next tick of a core because they are not urgent.
 */

/**
 * Largest number of inputs that wait. Well below the number of datagrams at which an entry assumes that further ones have not been
 * read.
 */
export const maximumDeferredInputs = 16;
