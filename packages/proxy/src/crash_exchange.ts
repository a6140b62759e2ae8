/**
 * Messages by which VMs tell each other under which requests targets end.
 *
 * Evidence travels in a section of the reports, which VMs that do not know it pass on unread, and is
 * part of the snapshot for a VM that joins. Times are ages, since the clocks of VMs differ.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";
import type * as placement from "@hemlockwalk/placement";
import * as neverthrow from "neverthrow";
import * as zod from "zod/mini";

/** Longest fingerprint or target identifier that is read. */
const MAX_IDENTIFIER_CHARACTERS = 256;

/** Most ends or successes in one message: all that a VM keeps. */
const MAX_ITEMS = 4_096;

/** Interval at which what is new is repeated, and for how long, in case a report was lost. */
const REPEAT_INTERVAL_MILLISECONDS = 2_000;
const REPEATED_FOR_MILLISECONDS = 6_000;

const identifierSchema = zod.string().check(
  zod.minLength(1),
  zod.maxLength(MAX_IDENTIFIER_CHARACTERS),
);

const ageSchema = zod.number().check(zod.nonnegative());

const messageSchema = zod.object({
  ends: zod.array(zod.object({
    fingerprint: identifierSchema,
    target: identifierSchema,
    startedAt: zod.number(),
    age: ageSchema,
  })).check(zod.maxLength(MAX_ITEMS)),
  successes: zod.array(zod.object({ fingerprint: identifierSchema, age: ageSchema }))
    .check(zod.maxLength(MAX_ITEMS)),
});

/** A finding about one request. */
export type Finding =
  | {
    readonly kind: "end";
    readonly fingerprint: model.RequestFingerprint;
    readonly end: placement.TargetEnd;
  }
  | {
    readonly kind: "success";
    readonly fingerprint: model.RequestFingerprint;
    /** Monotonic time, in milliseconds. */
    readonly at: number;
  };

/** Encodes findings as a payload. */
export function encodeFindings(findings: readonly Finding[]): unknown {
  const now = kernel.getMonotonicMilliseconds();
  const message: zod.infer<typeof messageSchema> = { ends: [], successes: [] };
  for (const finding of findings) {
    const { fingerprint } = finding;
    if (finding.kind === "success") {
      message.successes.push({ fingerprint, age: Math.round(now - finding.at) });
    } else {
      const { target, startedAt, endedAt } = finding.end;
      message.ends.push({ fingerprint, target, startedAt, age: Math.round(now - endedAt) });
    }
  }
  return message;
}

/** Decodes a payload of another VM; the error states what is invalid. */
export function decodeFindings(payload: unknown): neverthrow.Result<Finding[], string> {
  const parsed = zod.safeParse(messageSchema, payload);
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`);
    return neverthrow.err(`The evidence on requests is not valid: ${issues.join("; ")}.`);
  }
  const now = kernel.getMonotonicMilliseconds();
  return neverthrow.ok([
    ...parsed.data.ends.map(({ fingerprint, target, startedAt, age }): Finding => ({
      kind: "end",
      fingerprint: fingerprint as model.RequestFingerprint,
      end: { target: target as model.TargetId, startedAt, endedAt: now - age },
    })),
    ...parsed.data.successes.map(({ fingerprint, age }): Finding => ({
      kind: "success",
      fingerprint: fingerprint as model.RequestFingerprint,
      at: now - age,
    })),
  ]);
}

/** Lists all evidence as findings, for a snapshot. */
export function listFindings(evidence: placement.CrashEvidence): Finding[] {
  return evidence.list().flatMap(([fingerprint, { ends, succeededAt }]) => [
    ...ends.map((end): Finding => ({ kind: "end", fingerprint, end })),
    ...(succeededAt === undefined
      ? []
      : [{ kind: "success", fingerprint, at: succeededAt } satisfies Finding]),
  ]);
}

/** The findings of this VM that are still to be reported, for the first time or again. */
export class FindingOutbox {
  readonly #vmMesh: mesh.Mesh;
  #recent: { readonly finding: Finding; readonly addedAt: number }[] = [];
  #hasNew = false;
  #sentAt = Number.NEGATIVE_INFINITY;

  constructor(vmMesh: mesh.Mesh) {
    this.#vmMesh = vmMesh;
  }

  /** Adds a finding, which is reported without delay. */
  add(finding: Finding): void {
    this.#recent.push({ finding, addedAt: kernel.getMonotonicMilliseconds() });
    this.#hasNew = true;
    this.#vmMesh.reportSoon();
  }

  /** Collects the payload of the next report; undefined if nothing is due. */
  collect(): unknown {
    const now = kernel.getMonotonicMilliseconds();
    this.#recent = this.#recent.filter(({ addedAt }) => now - addedAt < REPEATED_FOR_MILLISECONDS);
    const isDue = this.#hasNew || now - this.#sentAt >= REPEAT_INTERVAL_MILLISECONDS;
    if (this.#recent.length === 0 || !isDue) {
      return undefined;
    }
    this.#hasNew = false;
    this.#sentAt = now;
    return encodeFindings(this.#recent.map(({ finding }) => finding));
  }
}
