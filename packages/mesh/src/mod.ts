/**
 * How VMs find each other from a few seeds and tell each other what they know.
 */

export * from "./feed_requests.ts";
export type { Link } from "./link.ts";
export * from "./member_table.ts";
export * from "./mesh.ts";
export type * from "./types.ts";
