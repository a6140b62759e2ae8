/** The operators' command-line tool; it exports no library interface. */
export {};
