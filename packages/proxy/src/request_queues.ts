/**
 * The requests that wait for each service on this VM.
 */

import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";

/** Lines by service, created when the first request needs one. */
export class WaitingLines {
  readonly #lines = new Map<model.ServiceId, placement.WaitingLine>();

  get(service: model.ServiceId): placement.WaitingLine {
    let line = this.#lines.get(service);
    if (line === undefined) {
      line = new placement.WaitingLine();
      this.#lines.set(service, line);
    }
    return line;
  }
}
