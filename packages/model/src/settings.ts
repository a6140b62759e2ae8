/**
 * The settings file of one VM: JSON with comments, checked completely before the VM starts.
 */

import type * as neverthrow from "neverthrow";
import * as zod from "zod";
import type * as diagnostics from "./diagnostics.ts";
import * as document from "./document.ts";
import * as ids from "./ids.ts";
import * as schemas from "./schemas.ts";

const tlsFiles = zod.strictObject({
  certificateFile: zod.string().min(1),
  keyFile: zod.string().min(1),
});

const DEFAULT_MAXIMUM_HEADER_BYTES = 16 * 1_024;
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 10_000;
const DEFAULT_BODY_IDLE_TIMEOUT_MILLISECONDS = 10_000;
const DEFAULT_DRAIN_LAG_MILLISECONDS = 5_000;

const timeoutMilliseconds = zod.number().int().min(100).max(600_000);

const listener = zod.strictObject({
  address: schemas.socketAddress,
  tls: tlsFiles.optional(),
  /** Maximum size of the request line and the headers together. */
  maximumHeaderBytes: zod.number().int().min(4_096).max(1_048_576).default(
    DEFAULT_MAXIMUM_HEADER_BYTES,
  ),
  /** Time for the request line and headers to arrive. */
  headerTimeoutMilliseconds: timeoutMilliseconds.default(DEFAULT_HEADER_TIMEOUT_MILLISECONDS),
  /** Longest time without data while a request's body is received. */
  bodyIdleTimeoutMilliseconds: timeoutMilliseconds.default(
    DEFAULT_BODY_IDLE_TIMEOUT_MILLISECONDS,
  ),
  /** Time for which a stopping VM still accepts requests, since the load balancer reacts late. */
  drainLagMilliseconds: zod.number().int().min(0).max(600_000).default(
    DEFAULT_DRAIN_LAG_MILLISECONDS,
  ),
  /** Whether to trust `Forwarded` and `X-Forwarded-*`, as set by a load balancer. */
  trustForwardedHeaders: zod.boolean().default(false),
});

/** Default time for which an idempotency key is retained after its use. */
const DEFAULT_CLAIM_RETENTION_MILLISECONDS = 60_000;

const claims = zod.strictObject({
  /** Time for which a caller's `Idempotency-Key` is not run again. The same on all VMs. */
  retentionMilliseconds: zod.number().int().min(1_000).max(600_000).default(
    DEFAULT_CLAIM_RETENTION_MILLISECONDS,
  ),
});

const peerSeed = zod.strictObject({
  vm: schemas.identifier.transform(ids.createVmId),
  address: schemas.socketAddress,
  dataCentre: schemas.identifier.transform(ids.createDataCentreId),
});

const settingsSchema = zod.strictObject({
  vm: schemas.identifier.transform(ids.createVmId),
  dataCentre: schemas.identifier.transform(ids.createDataCentreId),
  listener,
  admin: zod.strictObject({ address: schemas.socketAddress }),
  platform: zod.strictObject({
    addresses: zod.array(zod.url()).min(1),
  }),
  peers: zod.strictObject({
    address: schemas.socketAddress,
    /** Address at which other VMs reach this one, if it is not `address`. */
    advertisedAddress: schemas.socketAddress.optional(),
    secretFile: zod.string().min(1),
    seeds: zod.array(peerSeed).default([]),
  }).optional(),
  claims: claims.default({ retentionMilliseconds: DEFAULT_CLAIM_RETENTION_MILLISECONDS }),
  log: zod.strictObject({
    level: zod.enum(["debug", "info", "warn", "error"]).default("info"),
  }).default({ level: "info" }),
});

/** Checked settings of one VM. */
export type Settings = zod.output<typeof settingsSchema>;

/** The caller-facing listener. */
export type ListenerSettings = Settings["listener"];

/** Checks the text of a settings file. */
export function parseSettings(
  text: string,
): neverthrow.Result<Settings, diagnostics.Diagnostic[]> {
  return document.parseDocument(text, settingsSchema);
}
