/**
 * Divides the slots of a service at capacity between workspaces by start-time fair queueing.
 *
 * Each workspace with waiting requests has a separate queue for each weight of its routes. The next
 * free slot goes to the queue with the least virtual start time; serving a request advances that
 * time by one over the weight. A workspace that was idle starts at the virtual time of the service,
 * so its idle time is neither a penalty nor a credit. Queues exist only while requests wait for the
 * service.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";
import * as heaps from "./waiting_heap.ts";

/** Limits on the number of waiting requests. */
export interface FairQueueOptions {
  readonly maximumPerWorkspace: number;
  readonly maximumPerService: number;
}

const DEFAULT_OPTIONS: FairQueueOptions = { maximumPerWorkspace: 100, maximumPerService: 1_000 };

/** Retry time while the start interval of a service is unknown. */
const DEFAULT_RETRY_MILLISECONDS = 1_000;

const MINIMUM_RETRY_MILLISECONDS = 50;

/** Weight of the latest measurement in the estimate of a service's start interval. */
const START_INTERVAL_GAIN = 0.05;

/** A longer time between two starts is not representative and is left out of the estimate. */
const MAXIMUM_START_INTERVAL_MILLISECONDS = 10_000;

const OPEN_ROUTES_KEY = "";

interface WaitingRequest {
  readonly queue: WorkspaceQueue;
  readonly weight: number;
  /** Acquires a slot and ends the wait. Returns false if no slot is free. */
  readonly tryStart: () => boolean;
}

interface WorkspaceQueue extends heaps.HeapEntry {
  /** In order of arrival. A set, so that any request can be removed in constant time. */
  readonly waiting: Set<WaitingRequest>;
  virtualStart: number;
}

interface ServiceQueue {
  readonly queues: Map<string, WorkspaceQueue>;
  readonly heap: heaps.WaitingHeap<WorkspaceQueue>;
  waitingCount: number;
  virtualTime: number;
  /**
   * When a waiting request last started; minus infinity if the service has had no waiting requests
   * since.
   */
  lastStartMilliseconds: number;
  /**
   * Estimated time between two starts while requests wait; undefined until it has been measured.
   */
  startIntervalMilliseconds: number | undefined;
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
    // Requests of routes with different weights do not wait behind each other, even in one
    // workspace.
    const key = `${request.workspace ?? OPEN_ROUTES_KEY} ${request.weight}`;
    const estimatedWait = this.#estimateWait(service, key, request.weight);
    const queued = service.queues.get(key)?.waiting.size ?? 0;
    const isFull = queued >= this.#options.maximumPerWorkspace ||
      service.waitingCount >= this.#options.maximumPerService;
    if (isFull) {
      return Promise.resolve(this.#refuse("queue_full", estimatedWait));
    }
    const now = kernel.getMonotonicMilliseconds();
    // A request that would time out in the queue is refused now, so that its caller need not wait.
    const wouldTimeOut = service.waitingCount > 0 &&
      now + (estimatedWait ?? 0) >= request.deadlineMilliseconds;
    if (wouldTimeOut || now >= request.deadlineMilliseconds) {
      return Promise.resolve(this.#refuse("queue_timeout", estimatedWait));
    }
    return this.#waitForSlot(service, key, request);
  }

  hasWaiting(service: model.ServiceId): boolean {
    return (this.#services.get(service)?.waitingCount ?? 0) > 0;
  }

  notifyCapacity(id: model.ServiceId): void {
    const service = this.#services.get(id);
    if (service === undefined) {
      return;
    }
    for (;;) {
      const queue = service.heap.peek();
      const [first] = queue?.waiting ?? [];
      if (queue === undefined || first === undefined || !first.tryStart()) {
        return;
      }
    }
  }

  #waitForSlot<Lease>(
    service: ServiceQueue,
    key: string,
    request: types.QueueRequest<Lease>,
  ): Promise<neverthrow.Result<Lease, errors.QueueRefusal>> {
    const entered = kernel.getMonotonicMilliseconds();
    return new Promise((resolve) => {
      const finish = (result: neverthrow.Result<Lease, errors.QueueRefusal>) => {
        this.#dequeue(request.service, service, waiting);
        clearTimeout(timer);
        request.signal.removeEventListener("abort", onAbort);
        resolve(result);
      };
      const queue = this.#getQueue(service, key);
      const waiting: WaitingRequest = {
        queue,
        weight: request.weight,
        tryStart: () => {
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
        const estimatedWait = this.#estimateWait(service, key, request.weight);
        finish(this.#refuse("queue_timeout", estimatedWait));
      }, request.deadlineMilliseconds - entered);
      request.signal.addEventListener("abort", onAbort, { once: true });
      this.#enqueue(service, waiting);
    });
  }

  #enqueue(service: ServiceQueue, waiting: WaitingRequest): void {
    const { queue } = waiting;
    queue.waiting.add(waiting);
    service.waitingCount++;
    if (queue.heapIndex < 0) {
      service.heap.add(queue);
    }
  }

  #dequeue(id: model.ServiceId, service: ServiceQueue, waiting: WaitingRequest): void {
    const { queue } = waiting;
    queue.waiting.delete(waiting);
    service.waitingCount--;
    if (queue.waiting.size === 0) {
      service.heap.remove(queue);
    }
    // A queue that is ahead of the virtual time is kept while others wait, so that a workspace
    // gains no advantage by leaving and rejoining.
    if (service.waitingCount === 0) {
      service.queues.clear();
      service.virtualTime = 0;
      service.lastStartMilliseconds = Number.NEGATIVE_INFINITY;
      this.#removeIfUnmeasured(id, service);
    }
  }

  #removeIfUnmeasured(id: model.ServiceId, service: ServiceQueue): void {
    if (service.startIntervalMilliseconds === undefined) {
      this.#services.delete(id);
    }
  }

  #recordStart(service: ServiceQueue, waiting: WaitingRequest, now: number): void {
    const { queue } = waiting;
    service.virtualTime = queue.virtualStart;
    queue.virtualStart += 1 / waiting.weight;
    service.heap.update(queue);
    const interval = now - service.lastStartMilliseconds;
    service.lastStartMilliseconds = now;
    if (interval <= MAXIMUM_START_INTERVAL_MILLISECONDS) {
      const estimate = service.startIntervalMilliseconds ?? interval;
      service.startIntervalMilliseconds = estimate + START_INTERVAL_GAIN * (interval - estimate);
    }
    this.#removePassedQueues(service);
  }

  /** Removes empty queues that the virtual time has passed, which are equivalent to new ones. */
  #removePassedQueues(service: ServiceQueue): void {
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
   * Estimates the time until another request of a workspace would start, with its queue served at
   * its share of the service's throughput. Undefined while the start interval is unknown.
   */
  #estimateWait(service: ServiceQueue, key: string, weight: number): number | undefined {
    if (service.startIntervalMilliseconds === undefined) {
      return undefined;
    }
    const queue = service.queues.get(key);
    const ownStart = Math.max(queue?.virtualStart ?? 0, service.virtualTime);
    const queued = queue?.waiting.size ?? 0;
    const virtualWait = ownStart - service.virtualTime + queued / weight;
    // Each other queue starts at most one request per unit of virtual time and weight, and all of
    // them together at most as many as are waiting.
    const others = service.heap.size - (queued > 0 ? 1 : 0);
    const startsBefore = Math.min(service.waitingCount, queued + others * (virtualWait + 1));
    return (startsBefore + 1) * service.startIntervalMilliseconds;
  }

  #refuse(
    kind: errors.QueueRefusal["kind"],
    waitMilliseconds: number | undefined,
  ): neverthrow.Err<never, errors.QueueRefusal> {
    this.#outcomes.inc({ outcome: kind });
    const wait = waitMilliseconds ?? DEFAULT_RETRY_MILLISECONDS;
    const retryAfterMilliseconds = Math.max(MINIMUM_RETRY_MILLISECONDS, Math.ceil(wait));
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
        startIntervalMilliseconds: undefined,
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
