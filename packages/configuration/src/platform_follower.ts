/**
 * Follows the chain of notes on the platform.
 *
 * A reader always has a watch on the next note. Other VMs read only when neither they nor, as far as
 * they hear, anyone else has reached the platform for a while.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as zod from "zod";
import type * as baselineSources from "./baseline_sources.ts";
import type * as counting from "./counters.ts";
import type * as noteChain from "./note_chain.ts";
import type * as platformContact from "./platform_contact.ts";
import type * as readerElection from "./reader_election.ts";
import type * as types from "./types.ts";

const READ_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Short, since a watch whose connection went silent hears nothing until it ends. At two readers for
 * each data centre it costs a call a second there.
 */
const WATCH_WAIT_MILLISECONDS = 2_000;

/** The head is read after this many watches without a new note. */
const WATCHES_PER_HEAD = 8;

const FIRST_RETRY_MILLISECONDS = 250;
const HIGHEST_RETRY_MILLISECONDS = 4_000;

/** How often a VM that is no reader looks whether it should read. */
const IDLE_INTERVAL_MILLISECONDS = 500;

/** Without word from the platform for this long, other VMs than the readers try too. */
const FALLBACK_AGE_MILLISECONDS = 8_000;
const HIGHEST_FALLBACK_INTERVAL_MILLISECONDS = 60_000;

/** A VM that is further behind than this looks for a baseline first. */
const FAR_BEHIND_NOTES = 64;

/** Key of the platform's value that holds number and digest of the newest note. */
export const HEAD_KEY = "head";

/** Key of the platform's value that holds the text of a release note. */
export function getNoteKey(number: number): string {
  return `notes/${number}`;
}

const headSchema = zod.strictObject({
  number: zod.number().int().min(1).transform(model.createNoteNumber),
  digest: model.sha256.transform((value) => value as model.NoteDigest),
});

/** Writes the value of the head. */
export function createHeadText(number: number, digest: model.NoteDigest): string {
  return JSON.stringify({ number, digest });
}

/** What a look at the platform showed. */
export type PlatformState =
  /** Everything that it holds is in force here. */
  | "current"
  /** It holds notes that could not be brought into force. */
  | "held_up"
  | "unreachable";

/** What a follower works with. */
export interface FollowerParts {
  readonly chain: noteChain.NoteChain;
  readonly reader: types.PlatformReader;
  readonly baselines: baselineSources.BaselineSources;
  readonly election: readerElection.ReaderElection;
  readonly contact: platformContact.PlatformContact;
  readonly counters: counting.ConfigurationCounters;
  readonly logger: kernel.PartLogger;
}

/** Reads the platform on behalf of one VM. */
export class PlatformFollower {
  readonly #parts: FollowerParts;
  #retryMilliseconds = FIRST_RETRY_MILLISECONDS;
  #fallbackMilliseconds = FALLBACK_AGE_MILLISECONDS;
  #nextFallback = Number.NEGATIVE_INFINITY;
  #watchesSinceHead = 0;

  constructor(parts: FollowerParts) {
    this.#parts = parts;
  }

  /** Follows the chain until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#parts.election.isReader) {
        await this.#watchNext(signal);
      } else {
        await this.#readIfUnheard(signal);
      }
    }
  }

  /** Reads everything that the platform has above the note in force. */
  async readAll(signal: AbortSignal): Promise<PlatformState> {
    const { chain, baselines } = this.#parts;
    const head = await this.#readHead(signal);
    if (head === "unreachable") {
      return "unreachable";
    }
    // A baseline is worth its chunks where more notes are missing than it has chunks, or all are.
    const isFarBehind = chain.snapshot === undefined ||
      (head !== undefined && head.number - chain.number > FAR_BEHIND_NOTES);
    if (isFarBehind) {
      await baselines.loadFromPlatform(signal);
    }
    const isHeldUp = await this.#readNotes(signal);
    if (isHeldUp === "unreachable") {
      return "unreachable";
    }
    if (head !== undefined && head.number > chain.number && !signal.aborted) {
      // The notes in between may have been taken away after the baseline was published.
      return await baselines.loadFromPlatform(signal) ? "current" : "held_up";
    }
    return isHeldUp ? "held_up" : "current";
  }

  /** @returns Whether a note was found that did not come into force. */
  async #readNotes(signal: AbortSignal): Promise<boolean | "unreachable"> {
    const { chain, reader } = this.#parts;
    while (!signal.aborted) {
      const next = chain.number + 1;
      const value = await reader.get(getNoteKey(next), READ_TIMEOUT_MILLISECONDS, signal);
      this.#recordContact(value);
      if (value.isErr()) {
        return value.error.kind === "absent" ? false : "unreachable";
      }
      const outcome = await chain.offerNote(next, value.value.text, "platform");
      if (outcome !== "applied" && outcome !== "known") {
        return true;
      }
    }
    return false;
  }

  async #watchNext(signal: AbortSignal): Promise<void> {
    const { chain, reader, logger } = this.#parts;
    const next = chain.number + 1;
    const value = await reader.watch(getNoteKey(next), 0, WATCH_WAIT_MILLISECONDS, signal);
    this.#recordContact(value);
    if (value.isOk()) {
      const outcome = await chain.offerNote(next, value.value.text, "platform");
      await this.#settleWatch(outcome, signal);
    } else if (value.error.kind === "absent") {
      this.#retryMilliseconds = FIRST_RETRY_MILLISECONDS;
      await this.#checkHead(signal);
    } else if (!signal.aborted) {
      logger.warn("The platform gave no answer.", { detail: value.error.detail });
      await this.#waitForRetry(signal);
    }
  }

  async #settleWatch(outcome: types.OfferOutcome, signal: AbortSignal): Promise<void> {
    if (outcome === "applied" || outcome === "known") {
      this.#retryMilliseconds = FIRST_RETRY_MILLISECONDS;
      return;
    }
    if (outcome === "diverged") {
      await this.#parts.baselines.loadFromPlatform(signal);
    }
    // The value may be torn or replaced by a better one, so it is read again, ever more rarely.
    await this.#waitForRetry(signal);
  }

  async #checkHead(signal: AbortSignal): Promise<void> {
    this.#watchesSinceHead++;
    if (this.#watchesSinceHead < WATCHES_PER_HEAD) {
      return;
    }
    this.#watchesSinceHead = 0;
    const head = await this.#readHead(signal);
    if (typeof head === "object" && head.number > this.#parts.chain.number) {
      await this.readAll(signal);
    }
  }

  async #readIfUnheard(signal: AbortSignal): Promise<void> {
    const { contact, counters } = this.#parts;
    await kernel.sleep(IDLE_INTERVAL_MILLISECONDS, signal);
    const now = kernel.getMonotonicMilliseconds();
    const age = contact.ageMilliseconds ?? Infinity;
    if (signal.aborted || age < FALLBACK_AGE_MILLISECONDS) {
      this.#fallbackMilliseconds = FALLBACK_AGE_MILLISECONDS;
      this.#nextFallback = now + Math.random() * FALLBACK_AGE_MILLISECONDS;
      return;
    }
    if (now < this.#nextFallback) {
      return;
    }
    counters.fallbacks.inc();
    await this.readAll(signal);
    const jitter = 0.5 + Math.random();
    this.#nextFallback = kernel.getMonotonicMilliseconds() + this.#fallbackMilliseconds * jitter;
    this.#fallbackMilliseconds = Math.min(
      HIGHEST_FALLBACK_INTERVAL_MILLISECONDS,
      this.#fallbackMilliseconds * 2,
    );
  }

  async #readHead(
    signal: AbortSignal,
  ): Promise<noteChain.NoteIdentity | undefined | "unreachable"> {
    const { reader, chain, logger } = this.#parts;
    const value = await reader.get(HEAD_KEY, READ_TIMEOUT_MILLISECONDS, signal);
    this.#recordContact(value);
    if (value.isErr()) {
      return value.error.kind === "absent" ? undefined : "unreachable";
    }
    const head = model.parseDocument(value.value.text, headSchema);
    if (head.isErr()) {
      const finding = model.formatDiagnostic(
        HEAD_KEY,
        kernel.getDefined(head.error[0], "A refused document has a finding."),
      );
      logger.error("The head is refused.", { finding });
      return undefined;
    }
    chain.hear(head.value, "platform");
    return head.value;
  }

  #recordContact(value: Awaited<ReturnType<types.PlatformReader["get"]>>): void {
    if (value.isOk() || value.error.kind === "absent") {
      this.#parts.contact.record();
    }
  }

  async #waitForRetry(signal: AbortSignal): Promise<void> {
    const jitter = 0.5 + Math.random() / 2;
    await kernel.sleep(this.#retryMilliseconds * jitter, signal);
    this.#retryMilliseconds = Math.min(HIGHEST_RETRY_MILLISECONDS, this.#retryMilliseconds * 2);
  }
}
