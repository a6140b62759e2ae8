/**
 * A simulated target with slots, a short queue, service times and faults.
 */

import type * as model from "@hemlockwalk/model";
import type * as targets from "../src/mod.ts";
import type * as virtualTime from "./virtual_time.ts";

const REFUSAL_MILLISECONDS = 1;
const ERROR_MILLISECONDS = 5;
const SHED_MILLISECONDS = 1;
const QUEUE_LENGTH_PER_SLOT = 2;
const SERVICE_TIME_DEVIATION = 0.5;

/** Share of a healthy target's responses that are errors. */
const BACKGROUND_ERROR_SHARE = 0.002;

/** A fault of a target. */
export interface Fault {
  readonly kind: "refuses" | "hangs" | "slow" | "errors" | "truncates" | "resets";
  /** Factor on the service time. */
  readonly factor?: number;
  /** Share of the calls that fail. */
  readonly share?: number;
}

/** A call to a simulated target. */
export interface FakeCall {
  readonly dataCentre: model.DataCentreId;
  readonly vm: model.VmId;
  readonly route: model.RouteId;
  readonly medianMilliseconds: number;
  readonly networkMilliseconds: number;
  readonly timeoutMilliseconds: number;
  readonly end: (outcome: targets.CallOutcome) => void;
}

/** Returns the fault that affects a call; undefined if there is none. */
export type FaultRule = (call: FakeCall, now: number) => Fault | undefined;

/** One simulated target. */
export class FakeTarget {
  readonly #time: virtualTime.VirtualTime;
  readonly #random: targets.RandomSource;
  readonly #slots: number;
  readonly #queue: (() => void)[] = [];
  #running = 0;
  /** Calls that arrived while all slots were taken. */
  queued = 0;
  calls = 0;
  rule: FaultRule = () => undefined;

  constructor(
    time: virtualTime.VirtualTime,
    random: targets.RandomSource,
    slots: number,
  ) {
    this.#time = time;
    this.#random = random;
    this.#slots = slots;
  }

  /** Handles a call. */
  handle(call: FakeCall): void {
    const startedAt = this.#time.now;
    this.calls++;
    const fault = this.rule(call, startedAt);
    const failing = fault !== undefined && this.#random.next() < (fault.share ?? 1);
    const finish = (result: targets.CallResult, milliseconds: number) => {
      this.#time.schedule(this.#time.now + milliseconds, () => {
        const latencyMilliseconds = this.#time.now - startedAt;
        call.end({ result, latencyMilliseconds, route: call.route });
      });
    };
    if (failing) {
      switch (fault.kind) {
        case "refuses":
          return finish("connect_failed", REFUSAL_MILLISECONDS);
        case "hangs":
          return finish("timeout", call.timeoutMilliseconds);
        case "errors":
          return finish("server_error", ERROR_MILLISECONDS + call.networkMilliseconds);
        case "resets":
          return finish("reset", ERROR_MILLISECONDS);
        case "truncates":
        case "slow":
          break;
      }
    }
    if (this.#running >= this.#slots && this.#queue.length >= this.#slots * QUEUE_LENGTH_PER_SLOT) {
      return finish("shed", SHED_MILLISECONDS + call.networkMilliseconds);
    }
    const serviceMilliseconds = call.medianMilliseconds *
      Math.exp(SERVICE_TIME_DEVIATION * this.#drawNormal());
    const slowdown = failing && fault.kind === "slow" ? (fault.factor ?? 1) : 1;
    const run = () => {
      this.#running++;
      this.#time.schedule(this.#time.now + serviceMilliseconds * slowdown, () => {
        this.#running--;
        this.#queue.shift()?.();
        const background = this.#random.next() < BACKGROUND_ERROR_SHARE;
        const truncated = failing && fault.kind === "truncates";
        const result = truncated ? "truncated" : background ? "server_error" : "success";
        finish(result, call.networkMilliseconds);
      });
    };
    if (this.#running < this.#slots) {
      run();
      return;
    }
    this.queued++;
    this.#queue.push(run);
  }

  #drawNormal(): number {
    const first = Math.max(this.#random.next(), Number.EPSILON);
    return Math.sqrt(-2 * Math.log(first)) * Math.cos(2 * Math.PI * this.#random.next());
  }
}
