/**
 * What became of the claims that this VM made, and the answers that it keeps for repeats.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as lru from "lru-cache";
import type * as messages from "./claim_messages.ts";
import type * as types from "./types.ts";

/** Bytes of answers that a VM keeps. */
export const MAX_ANSWER_BYTES = 16 * 1_048_576;

/** Larger answers are not kept; their repeats are told that the outcome is unknown. */
export const MAX_SINGLE_ANSWER_BYTES = 262_144;

/** Claims that a VM can tell the outcome of. */
const MAX_CLAIMS = 50_000;

/** Bytes of an answer besides its body and headers. */
const ANSWER_OVERHEAD_BYTES = 256;

type ClaimState = "pending" | "running" | "stored" | "unknown" | "abandoned";

/** Outcomes of the claims of one VM. */
export class ClaimRegistry {
  readonly #prefix: string;
  /** In the order of creation, oldest first. */
  readonly #states = new Map<string, ClaimState>();
  readonly #answers: lru.LRUCache<string, types.StoredAnswer>;
  #lastNumber = 0;

  constructor(prefix: string, maxAnswerBytes = MAX_ANSWER_BYTES) {
    this.#prefix = prefix;
    this.#answers = new lru.LRUCache({
      maxSize: maxAnswerBytes,
      maxEntrySize: Math.min(MAX_SINGLE_ANSWER_BYTES, maxAnswerBytes),
      sizeCalculation: measureAnswer,
    });
  }

  /** Bytes of the answers kept. */
  get answerBytes(): number {
    return this.#answers.calculatedSize;
  }

  /** Begins a claim. Its name is unique in the fleet. */
  create(): string {
    this.#lastNumber++;
    const claim = `${this.#prefix}-${this.#lastNumber}`;
    this.#states.set(claim, "pending");
    this.#forgetOldest();
    return claim;
  }

  /** Notes that a claim was granted or given up. */
  set(claim: string, state: "running" | "unknown" | "abandoned"): void {
    this.#states.set(claim, state);
  }

  /** Keeps the answer of a claim if it is not too large. */
  store(claim: string, answer: types.StoredAnswer): void {
    this.#answers.set(claim, answer);
    this.#states.set(claim, this.#answers.has(claim) ? "stored" : "unknown");
  }

  /** What became of a claim; an unknown one may have run. */
  getOutcome(claim: string): messages.ClaimOutcome {
    const state = this.#states.get(claim) ?? "unknown";
    if (state !== "stored") {
      return { kind: state };
    }
    const answer = this.#answers.get(claim);
    return answer === undefined
      ? { kind: "unknown" }
      : { kind: "stored", answer: { ...answer, headers: [...answer.headers] } };
  }

  #forgetOldest(): void {
    if (this.#states.size > MAX_CLAIMS) {
      const oldest = kernel.getDefined(this.#states.keys().next().value, "There are claims.");
      this.#states.delete(oldest);
      this.#answers.delete(oldest);
    }
  }
}

function measureAnswer(answer: types.StoredAnswer): number {
  const headers = answer.headers.reduce((total, text) => total + text.length, 0);
  return answer.body.length + headers + ANSWER_OVERHEAD_BYTES;
}
