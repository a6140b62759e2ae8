/**
 * Simulates a service with a few slots behind a queue, and workspaces that send requests at given
 * rates.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as mersenne from "pure-rand/generator/mersenne";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import type * as limits from "../src/mod.ts";

const MEAN_SERVICE_MILLISECONDS = 20;
const DEADLINE_MILLISECONDS = 2_000;
const SERVICE = model.createServiceId("booking");

/** The requests that one workspace sends. */
export interface Sender {
  readonly workspace: string;
  /** Senders whose results are counted together. */
  readonly group: string;
  readonly ratePerSecond: number;
  readonly weight: number;
}

/** Results of the requests of one group. */
export interface SenderResult {
  readonly latency: kernel.LatencyDistribution;
  served: number;
  refused: number;
}

/** Simulates senders that share a service through a queue. */
export class QueueSimulation {
  readonly results = new Map<string, SenderResult>();
  readonly #clock: kernelTesting.TestClock;
  readonly #queue: limits.FairQueue;
  readonly #slots: number;
  readonly #random: ReturnType<typeof mersenne.mersenne>;
  #busy = 0;

  constructor(
    clock: kernelTesting.TestClock,
    queue: limits.FairQueue,
    slots: number,
    seed: number,
  ) {
    this.#clock = clock;
    this.#queue = queue;
    this.#slots = slots;
    this.#random = mersenne.mersenne(seed);
  }

  async run(senders: readonly Sender[], milliseconds: number): Promise<void> {
    const next = senders.map((sender) => this.#drawExponential(1_000 / sender.ratePerSecond));
    for (let elapsed = 0; elapsed < milliseconds; elapsed++) {
      for (const [index, sender] of senders.entries()) {
        while ((next[index] ?? 0) <= elapsed) {
          void this.#send(sender);
          next[index] = (next[index] ?? 0) + this.#drawExponential(1_000 / sender.ratePerSecond);
        }
      }
      await this.#clock.advance(1, 1);
    }
  }

  async #send(sender: Sender): Promise<void> {
    const result = this.#getResult(sender.group);
    const started = kernel.getMonotonicMilliseconds();
    const slot = await this.#queue.enter({
      service: SERVICE,
      workspace: model.createWorkspaceId(sender.workspace),
      weight: sender.weight,
      deadlineMilliseconds: started + DEADLINE_MILLISECONDS,
      signal: new AbortController().signal,
      tryAcquire: () => this.#tryAcquire(),
    });
    if (slot.isErr()) {
      result.refused++;
      return;
    }
    await kernel.sleep(this.#drawExponential(MEAN_SERVICE_MILLISECONDS));
    this.#busy--;
    result.served++;
    result.latency.record(kernel.getMonotonicMilliseconds() - started);
    this.#queue.notifyCapacity(SERVICE);
  }

  #tryAcquire(): true | undefined {
    if (this.#busy >= this.#slots) {
      return undefined;
    }
    this.#busy++;
    return true;
  }

  #getResult(group: string): SenderResult {
    let result = this.results.get(group);
    if (result === undefined) {
      result = { latency: new kernel.LatencyDistribution(), served: 0, refused: 0 };
      this.results.set(group, result);
    }
    return result;
  }

  #drawExponential(mean: number): number {
    return -Math.log(1 - uniform.uniformFloat64(this.#random)) * mean;
  }
}
