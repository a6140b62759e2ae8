/**
 * The request queues of one VM, by service.
 */

import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";

/** Queues by service, created when the first request needs one. */
export class RequestQueues {
  readonly #queues = new Map<model.ServiceId, placement.RequestQueue>();

  get(service: model.ServiceId): placement.RequestQueue {
    let queue = this.#queues.get(service);
    if (queue === undefined) {
      queue = new placement.RequestQueue();
      this.#queues.set(service, queue);
    }
    return queue;
  }
}
