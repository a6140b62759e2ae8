/**
 * The format of release notes, which add, change and withdraw entities.
 */

import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as diagnostics from "./diagnostics.ts";
import * as document from "./document.ts";
import * as ids from "./ids.ts";
import * as schemas from "./schemas.ts";
import type * as types from "./types.ts";

/** The format that this version reads and writes. */
export const NOTE_FORMAT = 1;

/** Largest value that the platform stores. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;

/** Largest release note. */
export const MAXIMUM_NOTE_BYTES = MAXIMUM_VALUE_BYTES;

/** Entities that are checked in one step of a parser. */
const ENTITIES_PER_STEP = 8;

/** Methods that HTTP defines as idempotent. */
export const STANDARD_IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"] as const;

/** Methods without side effects: the default for routes, since repeated writes may be harmful. */
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

/** Schemas of the entities by their section of a release note. */
export const entitySchemas = {
  workspaces: workspace,
  keys: key,
  services: service,
  targets: target,
  routes: route,
} as const;

/** Schema of the declaration of the whole fleet. */
export const fleetSchema = fleet;

const identifierSchemas = {
  workspaces: workspaceId,
  keys: keyDigest,
  services: serviceId,
  targets: targetId,
  routes: routeId,
} as const;

/** A section of a release note. */
export type SectionName = keyof typeof entitySchemas;

/** The sections in the order in which they are applied: referenced entities come first. */
export const SECTION_NAMES: readonly SectionName[] = [
  "workspaces",
  "keys",
  "services",
  "targets",
  "routes",
];

/** What a release note adds or changes. */
export type Declarations = {
  -readonly [Section in SectionName]: zod.output<(typeof entitySchemas)[Section]>[];
};

/** What a release note withdraws. */
export type Withdrawals = {
  -readonly [Section in SectionName]: zod.output<(typeof identifierSchemas)[Section]>[];
};

const uncheckedSection = zod.array(zod.unknown()).default([]);

const uncheckedSections = zod.strictObject({
  workspaces: uncheckedSection,
  keys: uncheckedSection,
  services: uncheckedSection,
  targets: uncheckedSection,
  routes: uncheckedSection,
}).default({ workspaces: [], keys: [], services: [], targets: [], routes: [] });

/** Schema of a note without its entities, which are checked one by one. */
const envelopeSchema = zod.strictObject({
  format: zod.literal(NOTE_FORMAT),
  number: zod.number().int().min(1).transform(ids.createNoteNumber),
  /** Digest of the predecessor's text; null for the first note. */
  previous: noteDigest.nullable(),
  title: zod.string().max(200).default(""),
  fleet: fleet.optional(),
  added: uncheckedSections,
  changed: uncheckedSections,
  withdrawn: uncheckedSections,
});

/** A checked release note. */
export interface ReleaseNote {
  readonly format: typeof NOTE_FORMAT;
  readonly number: types.NoteNumber;
  readonly previous: types.NoteDigest | null;
  readonly title: string;
  readonly fleet?: types.FleetDeclaration | undefined;
  readonly added: Declarations;
  readonly changed: Declarations;
  readonly withdrawn: Withdrawals;
}

/** A checked release note, or all findings in its text. */
export type NoteParseResult = neverthrow.Result<ReleaseNote, diagnostics.Diagnostic[]>;

/**
 * Parses and checks the text of a release note. Comments are not allowed, since a text that is
 * truncated within a trailing comment would be another valid note. The state to which the note
 * applies is not considered.
 */
export function parseReleaseNote(text: string): NoteParseResult {
  const steps = parseReleaseNoteInSteps(text);
  for (;;) {
    const step = steps.next();
    if (step.done === true) {
      return step.value;
    }
  }
}

/** Does the same as `parseReleaseNote` in short steps, between which other work may run. */
export function* parseReleaseNoteInSteps(
  untrimmedText: string,
): Generator<void, NoteParseResult> {
  const text = ids.trimNoteText(untrimmedText);
  const bytes = Buffer.byteLength(text);
  if (bytes > MAXIMUM_NOTE_BYTES) {
    return neverthrow.err([
      diagnostics.createDiagnostic(
        diagnostics.Diagnostics.documentTooLarge,
        [bytes, MAXIMUM_NOTE_BYTES],
      ),
    ]);
  }
  const value = document.parseStrictValue(text);
  yield;
  if (value.isErr()) {
    return neverthrow.err(value.error);
  }
  const unknownFormat = findUnknownFormat(value.value);
  if (unknownFormat !== undefined) {
    return neverthrow.err(yield* document.locateDiagnosticsInSteps(text, [unknownFormat]));
  }
  const findings: diagnostics.Diagnostic[] = [];
  const envelope = envelopeSchema.safeParse(value.value);
  if (!envelope.success) {
    findings.push(...document.createIssueDiagnostics(envelope.error.issues));
  }
  // Entities are checked even if the envelope is invalid, so that all findings are reported.
  const added = yield* checkPart<Declarations>("added", value.value, entitySchemas, findings);
  const changed = yield* checkPart<Declarations>("changed", value.value, entitySchemas, findings);
  const withdrawn = yield* checkPart<Withdrawals>(
    "withdrawn",
    value.value,
    identifierSchemas,
    findings,
  );
  if (!envelope.success || findings.length > 0) {
    return neverthrow.err(yield* document.locateDiagnosticsInSteps(text, findings));
  }
  return neverthrow.ok({ ...envelope.data, added, changed, withdrawn });
}

/** A note of another format is not checked further, since its fields may have other meanings. */
function findUnknownFormat(value: unknown): diagnostics.Diagnostic | undefined {
  const format = (value as { readonly format?: unknown } | null)?.format;
  if (typeof format !== "number" || format === NOTE_FORMAT) {
    return undefined;
  }
  const row = diagnostics.Diagnostics.unknownFormat;
  return diagnostics.createDiagnostic(row, [format, NOTE_FORMAT], ["format"]);
}

function* checkPart<Sections extends Declarations | Withdrawals>(
  part: "added" | "changed" | "withdrawn",
  note: unknown,
  schemasBySection: Readonly<Record<SectionName, zod.ZodType>>,
  findings: diagnostics.Diagnostic[],
): Generator<void, Sections> {
  const checked: Record<SectionName, unknown[]> = {
    workspaces: [],
    keys: [],
    services: [],
    targets: [],
    routes: [],
  };
  const sections = (note as Readonly<Record<string, unknown>> | null)?.[part];
  // Errors of the part as a whole are reported by the check of the envelope.
  const unchecked = uncheckedSections.safeParse(sections).data;
  for (const section of SECTION_NAMES) {
    for (const [index, value] of (unchecked?.[section] ?? []).entries()) {
      const result = schemasBySection[section].safeParse(value);
      if (result.success) {
        checked[section].push(result.data);
      } else {
        const prefix = [part, section, index];
        findings.push(...document.createIssueDiagnostics(result.error.issues, prefix));
      }
      if (index % ENTITIES_PER_STEP === 0) {
        yield;
      }
    }
  }
  return checked as unknown as Sections;
}
