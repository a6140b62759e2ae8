/**
 * The fleet: links between VMs, membership, and rendezvous hashing.
 */

export type * from "./errors.ts";
export * from "./gossip_membership.ts";
export * from "./leaving_announcement.ts";
export * from "./membership.ts";
export * from "./membership_counters.ts";
export * from "./peer_counters.ts";
export * from "./peer_messaging.ts";
export * from "./peer_secrets.ts";
export * from "./rendezvous.ts";
export type * from "./types.ts";
export * from "./web_socket_peer_network.ts";
