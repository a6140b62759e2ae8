/**
 * The fleet: links between VMs, membership and the choice of owners.
 */

export type * from "./errors.ts";
export * from "./membership.ts";
export * from "./peer_messaging.ts";
export * from "./rendezvous.ts";
export type * from "./types.ts";
