/**
 * Types shared within the gateway.
 */

import type * as configuration from "@hemlockwalk/configuration";
import type * as model from "@hemlockwalk/model";

/** Whether a refused request has run on a target; `no` only if that is certain. */
export type RunState = "no" | "unknown";

/** The validated request line and framing headers. */
export interface RequestHead {
  readonly method: string;
  /** Normalized header names, one for each pair of the raw headers. */
  readonly names: readonly string[];
  /** Host name in lower case without the port; empty if the request has none. */
  readonly host: string;
  /** The percent-decoded path, as a target sees it. Used only to match routes. */
  readonly routingPath: string;
  /** The path as it is forwarded. */
  readonly path: string;
  /** The query without its question mark; undefined if there is none. */
  readonly query: string | undefined;
  /** Length of the body in bytes; undefined for a chunked body. */
  readonly contentLength: number | undefined;
}

/** A request after its key and route have been checked. */
export interface AcceptedRequest {
  readonly head: RequestHead;
  readonly snapshot: configuration.Snapshot;
  readonly route: model.Route;
  readonly service: model.Service;
  /** Undefined on open routes. */
  readonly workspace: model.Workspace | undefined;
  /** The caller's key, kept to ensure that no forwarded header contains it. */
  readonly key: string | undefined;
  /** Undefined on open routes. */
  readonly keyDigest: model.KeyDigest | undefined;
  /** Path and query without the caller's key. */
  readonly target: string;
  readonly idempotent: boolean;
  /** Maximum size of the request's body. */
  readonly bodyLimitBytes: number;
  /** When the request arrived, on the monotonic clock. */
  readonly arrivedMilliseconds: number;
  /** On the monotonic clock. */
  readonly deadlineMilliseconds: number;
}

/** Why a running request is ended before its response is complete. */
export type EndReason = "caller_gone" | "key_withdrawn" | "deadline";
