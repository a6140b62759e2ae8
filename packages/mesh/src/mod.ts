/**
 * Discovery of VMs through a few seeds, and distribution of reports and replicated state.
 */

export * from "./snapshot_requests.ts";
export type { Link } from "./link.ts";
export * from "./member_table.ts";
export * from "./mesh.ts";
export type * from "./types.ts";
