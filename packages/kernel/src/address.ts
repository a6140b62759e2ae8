/**
 * Network addresses of the form `host:port`, where the host is an IP address or a host name.
 */

/** The host and port of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits an address at its last colon. The address must have been validated before. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
