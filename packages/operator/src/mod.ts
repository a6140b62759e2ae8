/** The operators' tool as a library. */
export {};
