/**
 * Addresses: an IP number or host name and a port, joined by a colon.
 */

/** An address in its parts. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits an address at its last colon. The text was checked where it came in. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
