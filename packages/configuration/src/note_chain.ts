/**
 * The chain of notes on one VM: the only place where a configuration comes into force.
 *
 * Whatever path a note or a baseline took, it passes here, one at a time. The number in force only
 * ever rises.
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

/** Number and digest of a note. */
export interface NoteIdentity {
  readonly number: model.NoteNumber;
  readonly digest: model.NoteDigest;
}

/** Called after a note or a baseline has come into force. */
export type AcceptanceListener = (change: types.SnapshotChange, origin: types.Origin) => void;

/** Holds the configuration in force and decides on what may follow it. */
export class NoteChain {
  readonly tail = new noteTail.NoteTail();
  readonly refused = new refusedNotes.RefusedNotes();
  readonly forks = new forkRegister.ForkRegister();
  readonly #logger: kernel.PartLogger;
  readonly #counters: counting.ConfigurationCounters;
  readonly #listeners: AcceptanceListener[] = [];
  #snapshot: snapshots.TableSnapshot | undefined;
  #highestHeard = 0;
  #running: Promise<unknown> = Promise.resolve();

  constructor(logger: kernel.PartLogger, counters: counting.ConfigurationCounters) {
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

  /** The highest number that anyone has told of. */
  get highestHeard(): number {
    return Math.max(this.#highestHeard, this.number);
  }

  /** Adds a listener. Listeners run in the order in which they were added. */
  onAccepted(listener: AcceptanceListener): void {
    this.#listeners.push(listener);
  }

  /** Takes note of what is in force or published elsewhere. */
  hear(identity: NoteIdentity, origin: types.Origin): void {
    this.#highestHeard = Math.max(this.#highestHeard, identity.number);
    const known = this.#getDigest(identity.number);
    if (known !== undefined && known !== identity.digest) {
      this.#recordFork(identity.number, known, identity.digest, origin);
    }
  }

  /**
   * Brings a note into force if it may follow the one in force.
   *
   * @param number The number under which the text was found.
   */
  offerNote(number: number, text: string, origin: types.Origin): Promise<types.OfferOutcome> {
    return this.#runAlone(async () => {
      const outcome = await this.#decide(number, model.trimNoteText(text), origin);
      this.#counters.notes.inc({ source: getSource(origin), outcome });
      return outcome;
    });
  }

  /**
   * Brings a configuration that was built from a baseline into force if it is above the one in force.
   */
  offerBaseline(loaded: snapshots.TableSnapshot, origin: types.Origin): Promise<boolean> {
    return this.#runAlone(async () => {
      if (loaded.number <= this.number) {
        this.#counters.baselines.inc({ source: getSource(origin), outcome: "behind" });
        return false;
      }
      const previous = this.#snapshot;
      const withdrawnKeys = await slices.runInSlices(
        baselineLoading.listWithdrawnKeysInSteps(previous, loaded),
      );
      // The notes before the baseline need not lead to it, so they are not passed on any more.
      this.tail.clear();
      this.#counters.baselines.inc({ source: getSource(origin), outcome: "applied" });
      this.#logger.info("A baseline is in force.", { number: loaded.number, origin });
      this.#accept({ previous, current: loaded, withdrawnKeys }, loaded, origin);
      return true;
    });
  }

  async #decide(
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
    return this.#follow(note.value, digest, text, origin);
  }

  async #follow(
    note: model.ReleaseNote,
    digest: model.NoteDigest,
    text: string,
    origin: types.Origin,
  ): Promise<types.OfferOutcome> {
    const { number, previous } = note;
    this.hear({ number, digest }, origin);
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
    const outcome = this.#finish(result, text, { number, digest }, origin);
    if (result.isOk()) {
      await slices.runInSlices(result.value.snapshot.settleInSteps());
    }
    return outcome;
  }

  #finish(
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

  /** The note names a predecessor that is not the one in force, so there are two of that number. */
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
      // It stays out of the refused notes: a baseline may show that the other branch goes on.
      this.#logger.error("A release note has another predecessor.", {
        number,
        digest,
        finding: model.formatDiagnostic(`notes/${number}`, finding),
      });
    }
    return "diverged";
  }

  /** @returns Whether the fork was not known yet. */
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
    this.#logger.error("Two notes have one number.", {
      number,
      origin,
      finding: model.formatDiagnostic(`notes/${number}`, finding),
    });
    return true;
  }

  #getDigest(number: number): model.NoteDigest | undefined {
    return number === this.number ? this.#snapshot?.digest : this.tail.get(number)?.digest;
  }

  /** Runs one decision after the other, so that each sees the outcome of the one before. */
  #runAlone<Result>(decide: () => Promise<Result>): Promise<Result> {
    const decided = this.#running.then(decide);
    this.#running = decided.catch(() => undefined);
    return decided;
  }
}

/** The label of an origin in counters. */
export function getSource(origin: types.Origin): "platform" | "peer" {
  return origin === "platform" ? "platform" : "peer";
}
