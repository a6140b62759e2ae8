/**
 * Shares the slots of a full service between workspaces by start-time fair queueing.
 *
 * Each workspace that waits has a queue of its own for each weight of its routes. The next free slot goes to the queue with the
 * least virtual start time; serving a request moves that time on by one over the weight. A workspace
 * that was silent starts at the virtual time of the service, so it neither pays for its silence nor
 * saves it up. Only workspaces that wait have any state.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";
import * as heaps from "./waiting_heap.ts";

/** Bounds of the queues. */
export interface FairQueueOptions {
  readonly maximumPerWorkspace: number;
  readonly maximumPerService: number;
}

const DEFAULT_OPTIONS: FairQueueOptions = { maximumPerWorkspace: 100, maximumPerService: 1_000 };

/** Retry time while the pace of a service is not known yet. */
const UNKNOWN_RETRY_MILLISECONDS = 1_000;

const SHORTEST_RETRY_MILLISECONDS = 50;

/** Weight of the latest interval in the estimate of a service's pace. */
const PACE_GAIN = 0.05;

/** A longer time between two starts says nothing of the pace. */
const LONGEST_INTERVAL_MILLISECONDS = 10_000;

const OPEN_ROUTES = "";

interface Waiting {
  readonly queue: WorkspaceQueue;
  readonly weight: number;
  /** Takes a slot and ends the wait; false while none is free. */
  readonly attempt: () => boolean;
}

interface WorkspaceQueue extends heaps.HeapEntry {
  /** In the order of arrival. A set, so that any request can leave at once. */
  readonly waiting: Set<Waiting>;
  virtualStart: number;
}

interface ServiceQueue {
  readonly queues: Map<string, WorkspaceQueue>;
  readonly heap: heaps.WaitingHeap<WorkspaceQueue>;
  waitingCount: number;
  virtualTime: number;
  /** Latest start of a request while others waited; minus infinity when none has waited since. */
  lastStartMilliseconds: number;
  /** Estimated time between two starts while requests wait; undefined until it is known. */
  paceMilliseconds: number | undefined;
}

/** Serves waiting requests in the order of weighted fair queueing. */
export class WeightedFairQueue implements types.FairQueue {
  readonly #options: FairQueueOptions;
  readonly #services = new Map<model.ServiceId, ServiceQueue>();
  readonly #outcomes;
  readonly #waits;

  constructor(metrics: kernel.Metrics, options: Partial<FairQueueOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
    this.#outcomes = metrics.createCounter(
      "hemlockwalk_queue_requests_total",
      "Requests for a slot of a service, by outcome.",
      ["outcome"],
    );
    this.#waits = metrics.createLatency(
      "hemlockwalk_queue_wait_seconds",
      "Time for which served requests waited for a slot.",
    );
    metrics.createGauge(
      "hemlockwalk_queue_waiting",
      "Requests that wait for a slot now.",
      () => this.#countWaiting(),
    );
  }

  enter<Lease>(
    request: types.QueueRequest<Lease>,
  ): Promise<neverthrow.Result<Lease, errors.QueueRefusal>> {
    if (request.signal.aborted) {
      return Promise.resolve(this.#refuse("cancelled", 0));
    }
    const service = this.#getService(request.service);
    const lease = service.waitingCount === 0 ? request.tryAcquire() : undefined;
    if (lease !== undefined) {
      this.#outcomes.inc({ outcome: "at_once" });
      return Promise.resolve(neverthrow.ok(lease));
    }
    // Routes of different weights do not wait behind each other, not even in one workspace.
    const key = `${request.workspace ?? OPEN_ROUTES} ${request.weight}`;
    const ahead = this.#estimateWait(service, key, request.weight);
    const queued = service.queues.get(key)?.waiting.size ?? 0;
    const isFull = queued >= this.#options.maximumPerWorkspace ||
      service.waitingCount >= this.#options.maximumPerService;
    if (isFull) {
      return Promise.resolve(this.#refuse("queue_full", ahead));
    }
    const now = kernel.getMonotonicMilliseconds();
    // A request that would be given up on later is refused now, so that its caller can go on.
    const isHopeless = service.waitingCount > 0 &&
      now + (ahead ?? 0) >= request.deadlineMilliseconds;
    if (isHopeless || now >= request.deadlineMilliseconds) {
      return Promise.resolve(this.#refuse("queue_timeout", ahead));
    }
    return this.#wait(service, key, request);
  }

  notifyCapacity(id: model.ServiceId): void {
    const service = this.#services.get(id);
    if (service === undefined) {
      return;
    }
    for (;;) {
      const queue = service.heap.peek();
      const [first] = queue?.waiting ?? [];
      if (queue === undefined || first === undefined || !first.attempt()) {
        return;
      }
    }
  }

  #wait<Lease>(
    service: ServiceQueue,
    key: string,
    request: types.QueueRequest<Lease>,
  ): Promise<neverthrow.Result<Lease, errors.QueueRefusal>> {
    const entered = kernel.getMonotonicMilliseconds();
    return new Promise((resolve) => {
      const finish = (result: neverthrow.Result<Lease, errors.QueueRefusal>) => {
        this.#leave(request.service, service, waiting);
        clearTimeout(timer);
        request.signal.removeEventListener("abort", onAbort);
        resolve(result);
      };
      const queue = this.#getQueue(service, key);
      const waiting: Waiting = {
        queue,
        weight: request.weight,
        attempt: () => {
          const lease = request.tryAcquire();
          if (lease === undefined) {
            return false;
          }
          const now = kernel.getMonotonicMilliseconds();
          this.#recordStart(service, waiting, now);
          this.#waits.record(now - entered);
          this.#outcomes.inc({ outcome: "waited" });
          finish(neverthrow.ok(lease));
          return true;
        },
      };
      const onAbort = () => finish(this.#refuse("cancelled", 0));
      const timer = setTimeout(() => {
        const ahead = this.#estimateWait(service, key, request.weight);
        finish(this.#refuse("queue_timeout", ahead));
      }, request.deadlineMilliseconds - entered);
      request.signal.addEventListener("abort", onAbort, { once: true });
      this.#join(service, waiting);
    });
  }

  #join(service: ServiceQueue, waiting: Waiting): void {
    const { queue } = waiting;
    queue.waiting.add(waiting);
    service.waitingCount++;
    if (queue.heapIndex < 0) {
      service.heap.add(queue);
    }
  }

  #leave(id: model.ServiceId, service: ServiceQueue, waiting: Waiting): void {
    const { queue } = waiting;
    queue.waiting.delete(waiting);
    service.waitingCount--;
    if (queue.waiting.size === 0) {
      service.heap.remove(queue);
    }
    // A queue that is ahead of the virtual time is kept while others wait: leaving and coming back
    // must not gain a workspace anything.
    if (service.waitingCount === 0) {
      service.queues.clear();
      service.virtualTime = 0;
      service.lastStartMilliseconds = Number.NEGATIVE_INFINITY;
      this.#forgetIfNew(id, service);
    }
  }

  #forgetIfNew(id: model.ServiceId, service: ServiceQueue): void {
    if (service.paceMilliseconds === undefined) {
      this.#services.delete(id);
    }
  }

  #recordStart(service: ServiceQueue, waiting: Waiting, now: number): void {
    const { queue } = waiting;
    service.virtualTime = queue.virtualStart;
    queue.virtualStart += 1 / waiting.weight;
    service.heap.update(queue);
    const interval = now - service.lastStartMilliseconds;
    service.lastStartMilliseconds = now;
    if (interval <= LONGEST_INTERVAL_MILLISECONDS) {
      const pace = service.paceMilliseconds ?? interval;
      service.paceMilliseconds = pace + PACE_GAIN * (interval - pace);
    }
    this.#forgetPassed(service);
  }

  /** Queues without requests that the virtual time has passed are as good as new ones. */
  #forgetPassed(service: ServiceQueue): void {
    if (service.queues.size <= 2 * service.heap.size + 8) {
      return;
    }
    for (const [key, queue] of service.queues) {
      if (queue.waiting.size === 0 && queue.virtualStart <= service.virtualTime) {
        service.queues.delete(key);
      }
    }
  }

  /**
   * Time until a further request of a workspace would start: its own queue is served at its share
   * of the service's pace. Undefined while the pace is not known.
   */
  #estimateWait(service: ServiceQueue, key: string, weight: number): number | undefined {
    if (service.paceMilliseconds === undefined) {
      return undefined;
    }
    const queue = service.queues.get(key);
    const ownStart = Math.max(queue?.virtualStart ?? 0, service.virtualTime);
    const queued = queue?.waiting.size ?? 0;
    const virtualWait = ownStart - service.virtualTime + queued / weight;
    // At most one request of each other queue per unit of virtual time and weight, and never more
    // than wait in all.
    const others = service.heap.size - (queued > 0 ? 1 : 0);
    const startsBefore = Math.min(service.waitingCount, queued + others * (virtualWait + 1));
    return (startsBefore + 1) * service.paceMilliseconds;
  }

  #refuse(
    kind: errors.QueueRefusal["kind"],
    waitMilliseconds: number | undefined,
  ): neverthrow.Err<never, errors.QueueRefusal> {
    this.#outcomes.inc({ outcome: kind });
    const wait = waitMilliseconds ?? UNKNOWN_RETRY_MILLISECONDS;
    const retryAfterMilliseconds = Math.max(SHORTEST_RETRY_MILLISECONDS, Math.ceil(wait));
    return neverthrow.err({ kind, retryAfterMilliseconds });
  }

  #getService(id: model.ServiceId): ServiceQueue {
    let service = this.#services.get(id);
    if (service === undefined) {
      service = {
        queues: new Map(),
        heap: new heaps.WaitingHeap((left, right) => left.virtualStart < right.virtualStart),
        waitingCount: 0,
        virtualTime: 0,
        lastStartMilliseconds: Number.NEGATIVE_INFINITY,
        paceMilliseconds: undefined,
      };
      this.#services.set(id, service);
    }
    return service;
  }

  #getQueue(service: ServiceQueue, key: string): WorkspaceQueue {
    let queue = service.queues.get(key);
    if (queue === undefined) {
      queue = {
        waiting: new Set(),
        virtualStart: service.virtualTime,
        heapIndex: -1,
      };
      service.queues.set(key, queue);
    }
    if (queue.waiting.size === 0) {
      queue.virtualStart = Math.max(queue.virtualStart, service.virtualTime);
    }
    return queue;
  }

  #countWaiting(): number {
    let count = 0;
    for (const service of this.#services.values()) {
      count += service.waitingCount;
    }
    return count;
  }
}
