/**
 * Applies a release note to a configuration. The outcome depends on both and on nothing else, so
 * that all VMs accept and refuse alike.
 *
 * Only what the note touches is checked: references of its entities, and what refers to the entities
 * that it withdraws. Nothing is changed until everything has been checked; then the tables change in
 * one step.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";
import * as noteCheck from "./note_check.ts";
import * as references from "./references.ts";
import * as slices from "./slices.ts";
import * as snapshots from "./snapshot.ts";

/** What a note that was accepted made. */
export interface AppliedNote {
  readonly snapshot: snapshots.TableSnapshot;
  /** Keys that stopped working or moved to another workspace. */
  readonly withdrawnKeys: readonly model.KeyDigest[];
}

/** The next configuration, or every finding when the note is refused. */
export type ApplyResult = neverthrow.Result<AppliedNote, errors.NoteRefusal>;

/**
 * Applies the note with the given text to the newest configuration of its tables.
 *
 * @returns The next configuration, or every finding when the note is refused.
 */
export function applyNoteText(
  current: snapshots.TableSnapshot | undefined,
  text: string,
): neverthrow.Result<snapshots.TableSnapshot, errors.NoteRefusal> {
  return model.parseReleaseNote(text)
    .mapErr((diagnostics): errors.NoteRefusal => ({ kind: "invalid", diagnostics }))
    .andThen((note) => {
      const steps = applyNoteInSteps(current, note, model.createNoteDigest(text), text);
      return slices.runAtOnce(steps);
    })
    .map((applied) => applied.snapshot);
}

/**
 * Applies a parsed note in short steps. Between the steps the tables of the current configuration
 * must not be changed by another note.
 *
 * @param text The note's text, for the positions of findings.
 */
export function* applyNoteInSteps(
  current: snapshots.TableSnapshot | undefined,
  note: model.ReleaseNote,
  digest: model.NoteDigest,
  text: string,
): Generator<void, ApplyResult> {
  const outOfOrder = checkOrder(current, note);
  if (outOfOrder !== undefined) {
    return yield* refuse("out_of_order", text, [outOfOrder]);
  }
  const fleet = note.fleet ?? current?.fleet;
  if (fleet === undefined) {
    const missing = model.createDiagnostic(model.Diagnostics.fleetMissing, [], ["fleet"]);
    return yield* refuse("invalid", text, [missing]);
  }
  const views = current?.views ?? snapshots.createEmptyViews();
  const counts = current?.referenceCounts ?? new references.ReferenceCounts();
  const check = new noteCheck.NoteCheck(note, views, counts);
  yield* check.runInSteps();
  if (check.diagnostics.length > 0) {
    return yield* refuse("invalid", text, check.diagnostics);
  }
  const withdrawnKeys = check.listWithdrawnKeys();
  yield;
  const identity = { number: note.number, digest, fleet };
  return neverthrow.ok({ snapshot: commit(identity, views, counts, check), withdrawnKeys });
}

/** Changes all tables without a break, so that no configuration is seen half changed. */
function commit(
  identity: snapshots.SnapshotIdentity,
  views: snapshots.SnapshotViews,
  counts: references.ReferenceCounts,
  check: noteCheck.NoteCheck,
): snapshots.TableSnapshot {
  const { staged } = check;
  const next: snapshots.SnapshotViews = {
    workspaces: views.workspaces.commit(staged.workspaces.changes),
    keys: views.keys.commit(staged.keys.changes),
    services: views.services.commit(staged.services.changes),
    targets: views.targets.commit(staged.targets.changes),
    routes: views.routes.commit(staged.routes.changes),
    places: views.places.commit(staged.places.changes),
    serviceTargets: views.serviceTargets.commit(staged.serviceTargets.changes),
  };
  counts.addAll(check.referenceDifferences);
  kernel.assert(next.keys.isNewest, "The views of a new configuration are the newest.");
  return new snapshots.TableSnapshot(identity, next, counts);
}

function* refuse(
  kind: errors.NoteRefusal["kind"],
  text: string,
  findings: readonly model.Diagnostic[],
): Generator<void, ApplyResult> {
  const diagnostics = yield* model.locateDiagnosticsInSteps(text, findings);
  return neverthrow.err({ kind, diagnostics });
}

function checkOrder(
  current: snapshots.TableSnapshot | undefined,
  note: model.ReleaseNote,
): model.Diagnostic | undefined {
  const currentNumber = current?.number ?? 0;
  if (note.number !== currentNumber + 1) {
    return model.createDiagnostic(
      model.Diagnostics.wrongNumber,
      [note.number, currentNumber],
      ["number"],
    );
  }
  const currentDigest = current?.digest ?? null;
  if (note.previous !== currentDigest) {
    return model.createDiagnostic(
      model.Diagnostics.wrongPredecessor,
      [note.number, String(note.previous), String(currentDigest)],
      ["previous"],
    );
  }
  return undefined;
}
