/**
 * Outcomes of the claims that this VM made, and the responses that it stores for repeated requests.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as lru from "lru-cache";
import type * as messages from "./claim_messages.ts";
import type * as types from "./types.ts";

/** Maximum number of bytes of responses that a VM stores. */
export const MAX_ANSWER_BYTES = 16 * 1_048_576;

/** Larger responses are not stored; for their repeats the outcome is unknown. */
export const MAX_SINGLE_ANSWER_BYTES = 262_144;

/** Maximum number of claims whose outcome a VM keeps. */
const MAX_CLAIMS = 50_000;

/** Bytes charged for a response in addition to its body and headers. */
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

  /** Total bytes of the stored responses. */
  get answerBytes(): number {
    return this.#answers.calculatedSize;
  }

  /** Adds a pending claim and returns its identifier, which is unique in the fleet. */
  create(): string {
    this.#lastNumber++;
    const claim = `${this.#prefix}-${this.#lastNumber}`;
    this.#states.set(claim, "pending");
    this.#evictOldest();
    return claim;
  }

  /** Records a new state of a claim. */
  setState(claim: string, state: "running" | "unknown" | "abandoned"): void {
    this.#states.set(claim, state);
  }

  /** Stores the response of a claim if it is not too large. */
  store(claim: string, answer: types.StoredAnswer): void {
    this.#answers.set(claim, answer);
    this.#states.set(claim, this.#answers.has(claim) ? "stored" : "unknown");
  }

  /** Returns the outcome of a claim. If it is unknown, the request may have run. */
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

  #evictOldest(): void {
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
