/** Measures the fleet at the size of its users' deployments; it exports no library interface. */
export {};
