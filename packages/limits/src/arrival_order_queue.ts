/**
 * A queue that serves requests in the order of their arrival, whoever sent them. The baseline of the
 * fair queue.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";

const MAXIMUM_WAITING = 1_000;
const RETRY_AFTER_MILLISECONDS = 1_000;

interface Waiting {
  /** Takes a slot and ends the wait; false while none is free. */
  readonly attempt: () => boolean;
}

/** Serves the requests of a service in the order of their arrival. */
export class ArrivalOrderQueue implements types.FairQueue {
  readonly #waiting = new Map<model.ServiceId, Waiting[]>();

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
    return this.#wait(queue, request);
  }

  notifyCapacity(service: model.ServiceId): void {
    const queue = this.#getQueue(service);
    while (queue[0]?.attempt()) {
      // Each attempt that succeeds removes itself from the queue.
    }
  }

  #wait<Lease>(
    queue: Waiting[],
    request: types.QueueRequest<Lease>,
  ): Promise<neverthrow.Result<Lease, errors.QueueRefusal>> {
    return new Promise((resolve) => {
      const finish = (result: neverthrow.Result<Lease, errors.QueueRefusal>) => {
        queue.splice(queue.indexOf(waiting), 1);
        clearTimeout(timer);
        request.signal.removeEventListener("abort", onAbort);
        resolve(result);
      };
      const waiting: Waiting = {
        attempt: () => {
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

  #getQueue(service: model.ServiceId): Waiting[] {
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

/** The name under which the queue is found. */
export const FAIR_QUEUE = kernel.createServiceName<types.FairQueue>("fair-queue");
