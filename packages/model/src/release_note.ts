/**
 * The format of release notes: what each adds, changes and withdraws.
 */

import type * as neverthrow from "neverthrow";
import * as zod from "zod";
import type * as diagnostics from "./diagnostics.ts";
import * as document from "./document.ts";
import * as ids from "./ids.ts";
import * as schemas from "./schemas.ts";
import type * as types from "./types.ts";

/** The format that this version reads and writes. */
export const NOTE_FORMAT = 1;

/** Methods that HTTP defines as idempotent. */
export const STANDARD_IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"] as const;

/** Methods without side effects, the default for routes, since a repeated write may do harm. */
const DEFAULT_IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS"];

const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;

const workspaceId = schemas.identifier.transform(ids.createWorkspaceId);
const routeId = schemas.identifier.transform(ids.createRouteId);
const serviceId = schemas.identifier.transform(ids.createServiceId);
const targetId = schemas.identifier.transform(ids.createTargetId);
const dataCentreId = schemas.identifier.transform(ids.createDataCentreId);
const keyDigest = schemas.sha256.transform((value) => value as types.KeyDigest);
const noteDigest = schemas.sha256.transform((value) => value as types.NoteDigest);
const weight = zod.number().positive().max(1_000).default(1);

const workspace = zod.strictObject({
  id: workspaceId,
  rate: zod.number().positive().max(1_000_000),
  burst: zod.number().min(1).max(10_000_000),
  weight,
});

const key = zod.strictObject({ digest: keyDigest, workspace: workspaceId });

const route = zod.strictObject({
  id: routeId,
  host: zod.string().regex(/^[a-z0-9.-]+$/).optional(),
  pathPrefix: zod.string().regex(/^\/([^/?#]+(\/[^/?#]+)*)?$/, "Expected a path such as /bookings"),
  service: serviceId,
  open: zod.boolean().default(false),
  workspaces: zod.array(workspaceId).optional(),
  timeoutMilliseconds: zod.number().int().min(1).max(600_000).default(DEFAULT_TIMEOUT_MILLISECONDS),
  bodyLimitBytes: zod.number().int().min(0).max(1_073_741_824).optional(),
  idempotentMethods: zod.array(zod.string().regex(/^[A-Z]+$/)).default(DEFAULT_IDEMPOTENT_METHODS),
  weight,
});

const service = zod.strictObject({
  id: serviceId,
  floor: zod.number().min(0).max(1).default(0.7),
  slots: zod.number().int().min(1).max(10_000),
  connections: zod.number().int().min(1).max(100_000),
  notRunSignal: zod.strictObject({
    status: zod.number().int().min(400).max(599),
    header: zod.string().toLowerCase().regex(/^[a-z0-9-]+$/),
    value: zod.string(),
  }).optional(),
});

const target = zod.strictObject({
  id: targetId,
  service: serviceId,
  address: schemas.socketAddress,
  dataCentre: dataCentreId,
  leaving: zod.boolean().default(false),
});

const fleet = zod.strictObject({
  vmLimit: zod.number().int().min(1).max(10_000),
  keyPlacement: zod.strictObject({
    header: zod.string().toLowerCase().regex(/^[a-z0-9-]+$/).default("hemlockwalk-key"),
    queryParameter: zod.string().min(1).optional(),
    cookie: zod.string().min(1).optional(),
  }).default({ header: "hemlockwalk-key" }),
  regions: zod.record(schemas.identifier, schemas.identifier).default({}),
});

const declarations = zod.strictObject({
  workspaces: zod.array(workspace).default([]),
  keys: zod.array(key).default([]),
  services: zod.array(service).default([]),
  targets: zod.array(target).default([]),
  routes: zod.array(route).default([]),
});

const withdrawals = zod.strictObject({
  workspaces: zod.array(workspaceId).default([]),
  keys: zod.array(keyDigest).default([]),
  services: zod.array(serviceId).default([]),
  targets: zod.array(targetId).default([]),
  routes: zod.array(routeId).default([]),
});

const noDeclarations = { workspaces: [], keys: [], services: [], targets: [], routes: [] };

const releaseNoteSchema = zod.strictObject({
  format: zod.literal(NOTE_FORMAT),
  number: zod.number().int().min(1).transform(ids.createNoteNumber),
  /** Digest of the predecessor's text; null for the first note. */
  previous: noteDigest.nullable(),
  title: zod.string().max(200).default(""),
  fleet: fleet.optional(),
  added: declarations.default(noDeclarations),
  changed: declarations.default(noDeclarations),
  withdrawn: withdrawals.default(noDeclarations),
});

/** A checked release note. */
export type ReleaseNote = zod.output<typeof releaseNoteSchema>;

/** What a release note adds or changes. */
export type Declarations = ReleaseNote["added"];

/** What a release note withdraws. */
export type Withdrawals = ReleaseNote["withdrawn"];

/** Checks the text of a release note by itself, without the state that it applies to. */
export function parseReleaseNote(
  text: string,
): neverthrow.Result<ReleaseNote, diagnostics.Diagnostic[]> {
  return document.parseDocument(text, releaseNoteSchema);
}
