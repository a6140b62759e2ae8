/**
 * Applies a release note to a configuration. The outcome depends on both and on nothing else, so
 * that all VMs accept and refuse alike.
 *
 * Only what the note touches is checked: references of its entities, and what refers to the entities
 * that it withdraws. Nothing is changed until everything has been checked; then all tables change
 * over in one short step.
 */

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
  if (current !== undefined) {
    yield* current.settleInSteps();
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
  const next = yield* commitInSteps(views, check.staged);
  const identity = { number: note.number, digest, fleet };
  const snapshot = new snapshots.TableSnapshot(identity, next, counts, check.referenceDifferences);
  return neverthrow.ok({ snapshot, withdrawnKeys });
}

/**
 * Makes the views after a note. What it replaces is collected in short steps first; the views then
 * change over without a break. Views before the note show the same as ever.
 */
function* commitInSteps(
  views: snapshots.SnapshotViews,
  staged: noteCheck.StagedTables,
): Generator<void, snapshots.SnapshotViews> {
  const workspaces = yield* views.workspaces.prepareInSteps(staged.workspaces.changes);
  const keys = yield* views.keys.prepareInSteps(staged.keys.changes);
  const services = yield* views.services.prepareInSteps(staged.services.changes);
  const targets = yield* views.targets.prepareInSteps(staged.targets.changes);
  const routes = yield* views.routes.prepareInSteps(staged.routes.changes);
  const places = yield* views.places.prepareInSteps(staged.places.changes);
  const lists = yield* views.serviceTargets.prepareInSteps(staged.serviceTargets.changes);
  return {
    workspaces: views.workspaces.commit(workspaces),
    keys: views.keys.commit(keys),
    services: views.services.commit(services),
    targets: views.targets.commit(targets),
    routes: views.routes.commit(routes),
    places: views.places.commit(places),
    serviceTargets: views.serviceTargets.commit(lists),
  };
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
