/**
 * Types shared within the gateway.
 */

import type * as configuration from "@hemlockwalk/configuration";
import type * as model from "@hemlockwalk/model";

/** Whether a request that was refused has run: `no` only where that is certain. */
export type RunState = "no" | "unknown";

/** A request after its key and route have been checked. */
export interface AcceptedRequest {
  readonly snapshot: configuration.Snapshot;
  readonly route: model.Route;
  readonly service: model.Service;
  /** Undefined on open routes. */
  readonly workspace: model.Workspace | undefined;
  /** Path and query without the caller's key. */
  readonly target: string;
  readonly idempotent: boolean;
  /** On the monotonic clock. */
  readonly deadlineMilliseconds: number;
}
