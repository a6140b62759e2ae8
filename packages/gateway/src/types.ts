/**
 * Types shared within the gateway.
 */

import type * as configuration from "@hemlockwalk/configuration";
import type * as model from "@hemlockwalk/model";

/** Whether a request that was refused has run: `no` only where that is certain. */
export type RunState = "no" | "unknown";

/** What a request line and its framing headers say, after they have been checked. */
export interface RequestHead {
  readonly method: string;
  /** Normalized names of the headers, one for each pair of the raw headers. */
  readonly names: readonly string[];
  /** Host name in lower case without its port; empty when the caller sent none. */
  readonly host: string;
  /** The path with percent-encoding undone, as a target sees it. Only for the choice of a route. */
  readonly routingPath: string;
  /** The path as it is forwarded. */
  readonly path: string;
  /** The query without its question mark; undefined when there is none. */
  readonly query: string | undefined;
  /** Bytes of the body; undefined when it is sent in chunks of unknown total. */
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
  /** The caller's key, kept only to make sure that nothing forwarded contains it. */
  readonly key: string | undefined;
  /** Undefined on open routes. */
  readonly keyDigest: model.KeyDigest | undefined;
  /** Path and query without the caller's key. */
  readonly target: string;
  readonly idempotent: boolean;
  /** The most bytes that the request's body may have. */
  readonly bodyLimitBytes: number;
  /** When the request arrived, on the monotonic clock. */
  readonly arrivedMilliseconds: number;
  /** On the monotonic clock. */
  readonly deadlineMilliseconds: number;
}

/** Why a running request is ended before its answer is complete. */
export type EndReason = "caller_gone" | "key_withdrawn" | "deadline";
