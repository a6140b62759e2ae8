/**
 * Follows the chain of notes on the platform.
 *
 * A VM that is elected as a reader always has a watch on the next note. Other VMs read the platform
 * only if no VM is known to have reached it recently.
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
 * Short, because a watch on a connection that has gone silent receives nothing until it times out.
 * With two readers per data centre, this costs one call per second and data centre.
 */
const WATCH_WAIT_MILLISECONDS = 2_000;

/** Number of consecutive watches without a new note after which the head is read. */
const WATCHES_PER_HEAD_READ = 8;

const INITIAL_RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 4_000;

/** Interval at which a VM that is not a reader checks whether it should read the platform. */
const IDLE_INTERVAL_MILLISECONDS = 500;

/** After this long without a known platform contact, VMs that are not readers read it too. */
const FALLBACK_AGE_MILLISECONDS = 8_000;
const MAXIMUM_FALLBACK_INTERVAL_MILLISECONDS = 60_000;

/** A VM that is more notes behind than this tries to load a baseline first. */
const BASELINE_THRESHOLD_NOTES = 64;

/** Platform key of the head: the number and digest of the newest note. */
export const HEAD_KEY = "head";

/** Returns the platform key of a release note. */
export function getNoteKey(number: number): string {
  return `notes/${number}`;
}

const headSchema = zod.strictObject({
  number: zod.number().int().min(1).transform(model.createNoteNumber),
  digest: model.sha256.transform((value) => value as model.NoteDigest),
});

/** Creates the text of the head. */
export function createHeadText(number: number, digest: model.NoteDigest): string {
  return JSON.stringify({ number, digest });
}

/** Result of reading the platform. */
export type PlatformState =
  /** All notes on the platform are in force on this VM. */
  | "current"
  /** The platform holds notes that could not be applied. */
  | "blocked"
  | "unreachable";

/** Dependencies of a follower. */
export interface FollowerDependencies {
  readonly chain: noteChain.NoteChain;
  readonly reader: types.PlatformReader;
  readonly baselines: baselineSources.BaselineSources;
  readonly election: readerElection.ReaderElection;
  readonly contact: platformContact.PlatformContact;
  readonly counters: counting.ConfigurationCounters;
  readonly logger: kernel.ComponentLogger;
}

/** Follows the platform for one VM. */
export class PlatformFollower {
  readonly #dependencies: FollowerDependencies;
  #retryMilliseconds = INITIAL_RETRY_MILLISECONDS;
  #fallbackMilliseconds = FALLBACK_AGE_MILLISECONDS;
  #nextFallback = Number.NEGATIVE_INFINITY;
  #watchesSinceHeadRead = 0;

  constructor(dependencies: FollowerDependencies) {
    this.#dependencies = dependencies;
  }

  /** Follows the chain until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#dependencies.election.isReader) {
        await this.#watchNext(signal);
      } else {
        await this.#readIfContactIsStale(signal);
      }
    }
  }

  /** Reads and applies all notes on the platform that are newer than the note in force. */
  async readAll(signal: AbortSignal): Promise<PlatformState> {
    const { chain, baselines } = this.#dependencies;
    const head = await this.#readHead(signal);
    if (head === "unreachable") {
      return "unreachable";
    }
    // A baseline takes one read per chunk, which is fewer than one per note if many are missing.
    const isFarBehind = chain.snapshot === undefined ||
      (head !== undefined && head.number - chain.number > BASELINE_THRESHOLD_NOTES);
    if (isFarBehind) {
      await baselines.loadFromPlatform(signal);
    }
    const isBlocked = await this.#readNotes(signal);
    if (isBlocked === "unreachable") {
      return "unreachable";
    }
    if (head !== undefined && head.number > chain.number && !signal.aborted) {
      // The missing notes may have been deleted after a baseline that includes them was published.
      return await baselines.loadFromPlatform(signal) ? "current" : "blocked";
    }
    return isBlocked ? "blocked" : "current";
  }

  /** @returns Whether a note was found that could not be applied. */
  async #readNotes(signal: AbortSignal): Promise<boolean | "unreachable"> {
    const { chain, reader } = this.#dependencies;
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
    const { chain, reader, logger } = this.#dependencies;
    const next = chain.number + 1;
    const value = await reader.watch(getNoteKey(next), 0, WATCH_WAIT_MILLISECONDS, signal);
    this.#recordContact(value);
    if (value.isOk()) {
      const outcome = await chain.offerNote(next, value.value.text, "platform");
      await this.#handleWatchOutcome(outcome, signal);
    } else if (value.error.kind === "absent") {
      this.#retryMilliseconds = INITIAL_RETRY_MILLISECONDS;
      await this.#checkHead(signal);
    } else if (!signal.aborted) {
      logger.warn("A watch on the platform failed.", { detail: value.error.detail });
      await this.#waitForRetry(signal);
    }
  }

  async #handleWatchOutcome(outcome: types.OfferOutcome, signal: AbortSignal): Promise<void> {
    if (outcome === "applied" || outcome === "known") {
      this.#retryMilliseconds = INITIAL_RETRY_MILLISECONDS;
      return;
    }
    if (outcome === "diverged") {
      await this.#dependencies.baselines.loadFromPlatform(signal);
    }
    // The value may be truncated or may be corrected later, so it is read again with backoff.
    await this.#waitForRetry(signal);
  }

  async #checkHead(signal: AbortSignal): Promise<void> {
    this.#watchesSinceHeadRead++;
    if (this.#watchesSinceHeadRead < WATCHES_PER_HEAD_READ) {
      return;
    }
    this.#watchesSinceHeadRead = 0;
    const head = await this.#readHead(signal);
    if (typeof head === "object" && head.number > this.#dependencies.chain.number) {
      await this.readAll(signal);
    }
  }

  async #readIfContactIsStale(signal: AbortSignal): Promise<void> {
    const { contact, counters } = this.#dependencies;
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
      MAXIMUM_FALLBACK_INTERVAL_MILLISECONDS,
      this.#fallbackMilliseconds * 2,
    );
  }

  async #readHead(
    signal: AbortSignal,
  ): Promise<noteChain.NoteIdentity | undefined | "unreachable"> {
    const { reader, chain, logger } = this.#dependencies;
    const value = await reader.get(HEAD_KEY, READ_TIMEOUT_MILLISECONDS, signal);
    this.#recordContact(value);
    if (value.isErr()) {
      return value.error.kind === "absent" ? undefined : "unreachable";
    }
    const head = model.parseDocument(value.value.text, headSchema);
    if (head.isErr()) {
      const finding = model.formatDiagnostic(
        HEAD_KEY,
        kernel.getDefined(head.error[0], "A document that fails to parse has a diagnostic."),
      );
      logger.error("The head value is invalid.", { finding });
      return undefined;
    }
    chain.recordReport(head.value, "platform");
    return head.value;
  }

  #recordContact(value: Awaited<ReturnType<types.PlatformReader["get"]>>): void {
    if (value.isOk() || value.error.kind === "absent") {
      this.#dependencies.contact.record();
    }
  }

  async #waitForRetry(signal: AbortSignal): Promise<void> {
    const jitter = 0.5 + Math.random() / 2;
    await kernel.sleep(this.#retryMilliseconds * jitter, signal);
    this.#retryMilliseconds = Math.min(MAXIMUM_RETRY_MILLISECONDS, this.#retryMilliseconds * 2);
  }
}
