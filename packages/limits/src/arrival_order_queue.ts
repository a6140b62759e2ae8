/**
 * A queue that serves requests in order of arrival, regardless of their workspace. The baseline for
 * the fair queue.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";

const MAXIMUM_WAITING = 1_000;
const RETRY_AFTER_MILLISECONDS = 1_000;

interface WaitingRequest {
  /** Acquires a slot and ends the wait. Returns false if no slot is free. */
  readonly tryStart: () => boolean;
}

/** Serves the requests of a service in order of arrival. */
export class ArrivalOrderQueue implements types.FairQueue {
  readonly #waiting = new Map<model.ServiceId, WaitingRequest[]>();

  enter<Lease>(
    request: types.QueueRequest<Lease>,
  ): Promise<neverthrow.Result<Lease, errors.QueueRefusal>> {
    const queue = this.#getQueue(request.service);
    const lease = queue.length === 0 ? request.tryAcquire() : undefined;
    if (lease !== undefined) {
      return Promise.resolve(neverthrow.ok(lease));
    }
    if (queue.length >= MAXIMUM_WAITING) {
      return Promise.resolve(neverthrow.err(createRefusal("queue_full")));
    }
    return this.#waitForSlot(queue, request);
  }

  hasWaiting(service: model.ServiceId): boolean {
    return (this.#waiting.get(service)?.length ?? 0) > 0;
  }

  notifyCapacity(service: model.ServiceId): void {
    const queue = this.#getQueue(service);
    while (queue[0]?.tryStart()) {
      // Each request that starts removes itself from the queue.
    }
  }

  #waitForSlot<Lease>(
    queue: WaitingRequest[],
    request: types.QueueRequest<Lease>,
  ): Promise<neverthrow.Result<Lease, errors.QueueRefusal>> {
    return new Promise((resolve) => {
      const finish = (result: neverthrow.Result<Lease, errors.QueueRefusal>) => {
        queue.splice(queue.indexOf(waiting), 1);
        clearTimeout(timer);
        request.signal.removeEventListener("abort", onAbort);
        resolve(result);
      };
      const waiting: WaitingRequest = {
        tryStart: () => {
          const lease = request.tryAcquire();
          if (lease === undefined) {
            return false;
          }
          finish(neverthrow.ok(lease));
          return true;
        },
      };
      const onAbort = () => finish(neverthrow.err(createRefusal("cancelled")));
      const timer = setTimeout(
        () => finish(neverthrow.err(createRefusal("queue_timeout"))),
        request.deadlineMilliseconds - kernel.getMonotonicMilliseconds(),
      );
      request.signal.addEventListener("abort", onAbort, { once: true });
      queue.push(waiting);
    });
  }

  #getQueue(service: model.ServiceId): WaitingRequest[] {
    let queue = this.#waiting.get(service);
    if (queue === undefined) {
      queue = [];
      this.#waiting.set(service, queue);
    }
    return queue;
  }
}

function createRefusal(kind: errors.QueueRefusal["kind"]): errors.QueueRefusal {
  return { kind, retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
}

/** Service name of the fair queue. */
export const FAIR_QUEUE = kernel.createServiceName<types.FairQueue>("fair-queue");
