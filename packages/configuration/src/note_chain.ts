/**
 * The chain of notes on one VM: the only place where a configuration comes into force.
 *
 * All notes and baselines are processed here, one at a time, whatever their source. The number in
 * force only increases.
 */

import type * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as applying from "./apply_note.ts";
import * as baselineLoading from "./baseline_loading.ts";
import type * as counting from "./counters.ts";
import * as forkRegister from "./fork_register.ts";
import * as noteTail from "./note_tail.ts";
import * as refusedNotes from "./refused_notes.ts";
import * as slices from "./slices.ts";
import type * as snapshots from "./snapshot.ts";
import type * as types from "./types.ts";

/** The number and digest of a note. */
export interface NoteIdentity {
  readonly number: model.NoteNumber;
  readonly digest: model.NoteDigest;
}

/** Called after a note or a baseline comes into force. */
export type AcceptanceListener = (change: types.SnapshotChange, origin: types.Origin) => void;

/** Holds the configuration in force, and decides which note or baseline may replace it. */
export class NoteChain {
  readonly tail = new noteTail.NoteTail();
  readonly refused = new refusedNotes.RefusedNotes();
  readonly forks = new forkRegister.ForkRegister();
  readonly #logger: kernel.ComponentLogger;
  readonly #counters: counting.ConfigurationCounters;
  readonly #listeners: AcceptanceListener[] = [];
  #snapshot: snapshots.TableSnapshot | undefined;
  #highestReported = 0;
  #running: Promise<unknown> = Promise.resolve();

  constructor(logger: kernel.ComponentLogger, counters: counting.ConfigurationCounters) {
    this.#logger = logger;
    this.#counters = counters;
  }

  get snapshot(): snapshots.TableSnapshot | undefined {
    return this.#snapshot;
  }

  /** Number of the note in force; 0 before the first. */
  get number(): number {
    return this.#snapshot?.number ?? 0;
  }

  /** The highest note number that a peer or the platform has reported. */
  get highestReported(): number {
    return Math.max(this.#highestReported, this.number);
  }

  /** Adds a listener. Listeners run in the order in which they were added. */
  onAccepted(listener: AcceptanceListener): void {
    this.#listeners.push(listener);
  }

  /** Records a note that is in force on a peer or published on the platform. */
  recordReport(identity: NoteIdentity, origin: types.Origin): void {
    this.#highestReported = Math.max(this.#highestReported, identity.number);
    const known = this.#getDigest(identity.number);
    if (known !== undefined && known !== identity.digest) {
      this.#recordFork(identity.number, known, identity.digest, origin);
    }
  }

  /**
   * Applies a note if it is the valid successor of the note in force.
   *
   * @param number The number under which the source holds the text.
   */
  offerNote(number: number, text: string, origin: types.Origin): Promise<types.OfferOutcome> {
    return this.#runExclusively(async () => {
      const outcome = await this.#processNote(number, model.trimNoteText(text), origin);
      this.#counters.notes.inc({ source: getSource(origin), outcome });
      return outcome;
    });
  }

  /**
   * Replaces the configuration in force by one that was loaded from a baseline, if that is newer.
   *
   * @returns Whether the baseline came into force.
   */
  offerBaseline(loaded: snapshots.TableSnapshot, origin: types.Origin): Promise<boolean> {
    return this.#runExclusively(async () => {
      if (loaded.number <= this.number) {
        this.#counters.baselines.inc({ source: getSource(origin), outcome: "behind" });
        return false;
      }
      const previous = this.#snapshot;
      const withdrawnKeys = await slices.runInSlices(
        baselineLoading.listWithdrawnKeysInSteps(previous, loaded),
      );
      // The kept notes may not lead to the baseline, so they are no longer served to peers.
      this.tail.clear();
      this.#counters.baselines.inc({ source: getSource(origin), outcome: "applied" });
      this.#logger.info("A baseline is in force.", { number: loaded.number, origin });
      this.#accept({ previous, current: loaded, withdrawnKeys }, loaded, origin);
      return true;
    });
  }

  async #processNote(
    number: number,
    text: string,
    origin: types.Origin,
  ): Promise<types.OfferOutcome> {
    const digest = model.createNoteDigest(text);
    if (digest === this.#snapshot?.digest) {
      return "known";
    }
    if (this.refused.has(number, digest)) {
      return "refused";
    }
    const note = await slices.runInSlices(model.parseReleaseNoteInSteps(text));
    if (note.isErr()) {
      return this.#refuse(number, digest, note.error);
    }
    if (note.value.number !== number) {
      const values = [`notes/${number}`, note.value.number];
      const misplaced = model.createDiagnostic(model.Diagnostics.wrongKey, values, ["number"]);
      return this.#refuse(number, digest, model.locateDiagnostics(text, [misplaced]));
    }
    return this.#applyInOrder(note.value, digest, text, origin);
  }

  async #applyInOrder(
    note: model.ReleaseNote,
    digest: model.NoteDigest,
    text: string,
    origin: types.Origin,
  ): Promise<types.OfferOutcome> {
    const { number, previous } = note;
    this.recordReport({ number, digest }, origin);
    if (number <= this.number) {
      const known = this.#getDigest(number);
      return known === undefined || known === digest ? "known" : "conflicting";
    }
    if (number > this.number + 1) {
      return "gap";
    }
    if (this.#snapshot !== undefined && previous !== this.#snapshot.digest) {
      return this.#reportDivergence(note, digest, origin);
    }
    const steps = applying.applyNoteInSteps(this.#snapshot, note, digest, text);
    const result = await slices.runInSlices(steps);
    const outcome = this.#acceptResult(result, text, { number, digest }, origin);
    if (result.isOk()) {
      await slices.runInSlices(result.value.snapshot.mergePendingInSteps());
    }
    return outcome;
  }

  #acceptResult(
    result: applying.ApplyResult,
    text: string,
    identity: NoteIdentity,
    origin: types.Origin,
  ): types.OfferOutcome {
    if (result.isErr()) {
      return this.#refuse(identity.number, identity.digest, result.error.diagnostics);
    }
    const { snapshot, withdrawnKeys } = result.value;
    const previous = this.#snapshot;
    this.tail.add(identity.number, identity.digest, text);
    this.#logger.info("A release note is in force.", { number: identity.number, origin });
    this.#accept({ previous, current: snapshot, withdrawnKeys }, snapshot, origin);
    return "applied";
  }

  #accept(
    change: types.SnapshotChange,
    snapshot: snapshots.TableSnapshot,
    origin: types.Origin,
  ): void {
    this.#snapshot = snapshot;
    for (const listener of this.#listeners) {
      listener(change, origin);
    }
  }

  #refuse(
    number: number,
    digest: model.NoteDigest,
    diagnostics: readonly model.Diagnostic[],
  ): types.OfferOutcome {
    const file = `notes/${number}`;
    const findings = diagnostics.map((finding) => model.formatDiagnostic(file, finding));
    this.refused.add({ number, digest, findings });
    for (const finding of findings) {
      this.#logger.error("A release note is refused.", { number, digest, finding });
    }
    return "refused";
  }

  /**
   * Reports a note whose predecessor differs from the note in force, which means that two different
   * notes have the predecessor's number.
   */
  #reportDivergence(
    note: model.ReleaseNote,
    digest: model.NoteDigest,
    origin: types.Origin,
  ): types.OfferOutcome {
    const { number, previous } = note;
    const inForce = this.#snapshot?.digest;
    const isNew = previous !== null && inForce !== undefined &&
      this.#recordFork(model.createNoteNumber(number - 1), inForce, previous, origin);
    if (isNew) {
      const finding = model.createDiagnostic(
        model.Diagnostics.wrongPredecessor,
        [number, previous, inForce],
        ["previous"],
      );
      // It is not added to the refused notes: a later baseline may continue the other branch.
      this.#logger.error("A release note names a predecessor that is not in force.", {
        number,
        digest,
        finding: model.formatDiagnostic(`notes/${number}`, finding),
      });
    }
    return "diverged";
  }

  /** @returns Whether the fork is new. */
  #recordFork(
    number: model.NoteNumber,
    inForce: model.NoteDigest,
    refused: model.NoteDigest,
    origin: types.Origin,
  ): boolean {
    if (!this.forks.add({ number, inForce, refused, seenAt: origin })) {
      return false;
    }
    this.#counters.forks.inc();
    const finding = model.createDiagnostic(
      model.Diagnostics.forkedNote,
      [number, inForce, refused],
    );
    this.#logger.error("Two different notes have the same number.", {
      number,
      origin,
      finding: model.formatDiagnostic(`notes/${number}`, finding),
    });
    return true;
  }

  #getDigest(number: number): model.NoteDigest | undefined {
    return number === this.number ? this.#snapshot?.digest : this.tail.get(number)?.digest;
  }

  /** Runs tasks one after another, so that each sees the result of the previous one. */
  #runExclusively<Result>(task: () => Promise<Result>): Promise<Result> {
    const result = this.#running.then(task);
    this.#running = result.catch(() => undefined);
    return result;
  }
}

/** Returns the counter label of an origin. */
export function getSource(origin: types.Origin): "platform" | "peer" {
  return origin === "platform" ? "platform" : "peer";
}
