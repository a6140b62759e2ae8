/**
 * Applies a release note to a configuration. The outcome depends only on the note and the
 * configuration, so all VMs accept and refuse the same notes.
 *
 * Only the entities that the note touches are checked: the references they contain, and the
 * references to entities that the note withdraws. Nothing is changed before all checks have passed;
 * then all tables switch to the new version in one short step.
 */

import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";
import * as noteCheck from "./note_check.ts";
import * as references from "./references.ts";
import * as slices from "./slices.ts";
import * as snapshots from "./snapshot.ts";

/** The result of a note that was accepted. */
export interface AppliedNote {
  readonly snapshot: snapshots.TableSnapshot;
  /** Keys that were withdrawn or moved to another workspace. */
  readonly withdrawnKeys: readonly model.KeyDigest[];
}

/** The next configuration, or the diagnostics if the note is refused. */
export type ApplyResult = neverthrow.Result<AppliedNote, errors.NoteRefusal>;

/**
 * Applies the note with the given text to a configuration, which must be the newest of its tables.
 *
 * @returns The next configuration, or the diagnostics if the note is refused.
 */
export function applyNoteText(
  current: snapshots.TableSnapshot | undefined,
  text: string,
): neverthrow.Result<snapshots.TableSnapshot, errors.NoteRefusal> {
  return model.parseReleaseNote(text)
    .mapErr((diagnostics): errors.NoteRefusal => ({ kind: "invalid", diagnostics }))
    .andThen((note) => {
      const steps = applyNoteInSteps(current, note, model.createNoteDigest(text), text);
      return slices.runSynchronously(steps);
    })
    .map((applied) => applied.snapshot);
}

/**
 * Applies a parsed note in short steps. No other note may change the tables of the current
 * configuration between the steps.
 *
 * @param text The text of the note, to locate diagnostics.
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
    yield* current.mergePendingInSteps();
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
 * Creates the views after a note. The replaced values are collected in short steps first; then all
 * views are committed without a yield in between. Earlier views keep returning the same values.
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
  const routesByPrefix = yield* views.routesByPrefix.prepareInSteps(staged.routesByPrefix.changes);
  const lists = yield* views.serviceTargets.prepareInSteps(staged.serviceTargets.changes);
  return {
    workspaces: views.workspaces.commit(workspaces),
    keys: views.keys.commit(keys),
    services: views.services.commit(services),
    targets: views.targets.commit(targets),
    routes: views.routes.commit(routes),
    routesByPrefix: views.routesByPrefix.commit(routesByPrefix),
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
