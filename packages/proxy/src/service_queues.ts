/**
 * What waits for each service on this VM, and how urgent the requests for it are.
 */

import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";

/** Waiting requests of one service. */
export interface ServiceQueue {
  readonly line: placement.WaitingLine;
  readonly urgency: placement.UrgencyTracker;
}

/** Queues by service. */
export class ServiceQueues {
  readonly #queues = new Map<model.ServiceId, ServiceQueue>();

  get(service: model.ServiceId): ServiceQueue {
    let queue = this.#queues.get(service);
    if (queue === undefined) {
      queue = { line: new placement.WaitingLine(), urgency: new placement.UrgencyTracker() };
      this.#queues.set(service, queue);
    }
    return queue;
  }
}
