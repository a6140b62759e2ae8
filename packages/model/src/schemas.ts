/**
 * Schemas that settings and release notes share.
 */

import * as net from "node:net";
import * as zod from "zod";

const IDENTIFIER = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/** Lower-case identifier of at most 63 characters. */
export const identifier = zod.string().regex(
  IDENTIFIER,
  "Expected 1 to 63 lower-case letters, digits, '.', '_' or '-'",
);

/** IP address and port, such as `127.0.0.1:8080` or `[::1]:8080`. */
export const socketAddress = zod.string().refine(
  (value) => splitSocketAddress(value) !== undefined,
  "Expected an IP number and a port, such as 127.0.0.1:8080",
);

/** SHA-256 as 64 lower-case hexadecimal digits. */
export const sha256 = zod.string().regex(/^[0-9a-f]{64}$/, "Expected a SHA-256 in hexadecimal");

/** Splits an address into its IP address and port; undefined if it is not valid. */
export function splitSocketAddress(
  address: string,
): { readonly host: string; readonly port: number } | undefined {
  const match = /^(?:\[(.+)\]|([^:]+)):(\d{1,5})$/.exec(address);
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  if (host === undefined || net.isIP(host) === 0 || port > 65_535) {
    return undefined;
  }
  return { host, port };
}
