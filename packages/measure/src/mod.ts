/** Measurement of the fleet at its users' sizes. */
export {};
