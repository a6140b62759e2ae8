/**
 * A worker that sends an open-loop load: each request starts at its intended time, regardless of
 * the latency of earlier ones.
 */

import * as undici from "undici";
import * as random from "../random.ts";
import type * as types from "../types.ts";
import type * as commands from "./commands.ts";
import * as emulatedTarget from "./emulated_target.ts";
import * as worker from "./worker.ts";

/** Timeout of a caller for the header and between parts of the body. */
const CALLER_TIMEOUT_MILLISECONDS = 15_000;

const WRITE_BODY = "a booking, a fine, a hold or a release";

interface Answer {
  readonly status: number;
  readonly reason: string;
  readonly run: string;
  readonly complete: boolean;
  readonly mixed: boolean;
}

const BROKEN_ANSWER: Answer = { status: 0, reason: "", run: "", complete: false, mixed: false };

/** Sends the load of all workspaces. */
class LoadGenerator {
  readonly records: types.RequestRecord[] = [];
  readonly #plan: commands.LoadPlan;
  readonly #agent = new undici.Agent({ connections: 64, pipelining: 1 });
  readonly #start = performance.now();
  readonly #factors: number[];
  readonly #timers = new Set<NodeJS.Timeout>();
  readonly #running = new Set<Promise<void>>();
  #listeners: readonly string[];
  #lastNumber = 0;
  #stopped = false;

  constructor(plan: commands.LoadPlan) {
    this.#plan = plan;
    this.#listeners = plan.listeners;
    this.#factors = plan.deployment.workspaces.map(() => 1);
    for (const workspace of plan.deployment.workspaces.keys()) {
      const stream = new random.RandomStream(plan.seed * 1_000 + workspace);
      this.#scheduleNext(workspace, stream, 0);
    }
  }

  setListeners(listeners: readonly string[]): void {
    this.#listeners = listeners;
  }

  setLoadFactor(workspace: number, factor: number): void {
    this.#factors[workspace] = factor;
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    for (const timer of this.#timers) {
      clearTimeout(timer);
    }
    await Promise.all(this.#running);
    await this.#agent.destroy();
  }

  #scheduleNext(workspace: number, stream: random.RandomStream, previous: number): void {
    if (this.#stopped) {
      return;
    }
    const rate = this.#plan.deployment.workspaces[workspace]?.rate ?? 0;
    const perSecond = rate * this.#plan.load * (this.#factors[workspace] ?? 1) / this.#plan.stride;
    const intendedStart = previous + stream.nextExponential(1_000 / perSecond);
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.#scheduleNext(workspace, stream, intendedStart);
      this.#startRequest(workspace, stream, intendedStart);
    }, intendedStart - (performance.now() - this.#start));
    this.#timers.add(timer);
  }

  #startRequest(workspace: number, stream: random.RandomStream, intendedStart: number): void {
    this.#lastNumber++;
    const { deployment, stride, offset, writes } = this.#plan;
    const request = {
      id: this.#lastNumber * stride + offset,
      workspace,
      service: stream.nextIndex(deployment.services.length),
      idempotent: stream.nextUniform() >= writes,
      startMilliseconds: intendedStart,
    };
    const listener = this.#listeners[stream.nextIndex(this.#listeners.length)] ?? "";
    const sent = this.#send(request, listener).then((answer) => {
      const latencyMilliseconds = performance.now() - this.#start - intendedStart +
        2 * deployment.callerDelayMilliseconds;
      this.records.push({ ...request, ...answer, latencyMilliseconds });
      this.#running.delete(sent);
    });
    this.#running.add(sent);
  }

  async #send(
    request: Pick<types.RequestRecord, "id" | "workspace" | "service" | "idempotent">,
    listener: string,
  ): Promise<Answer> {
    const { deployment } = this.#plan;
    const prefix = deployment.services[request.service]?.pathPrefix ?? "";
    const key = deployment.workspaces[request.workspace]?.key ?? "";
    try {
      const response = await undici.request(`http://${listener}${prefix}/${request.id}`, {
        dispatcher: this.#agent,
        method: request.idempotent ? "GET" : "POST",
        headers: {
          authorization: `Bearer ${key}`,
          [emulatedTarget.REQUEST_ID_HEADER]: String(request.id),
        },
        body: request.idempotent ? null : WRITE_BODY,
        headersTimeout: CALLER_TIMEOUT_MILLISECONDS,
        bodyTimeout: CALLER_TIMEOUT_MILLISECONDS,
      });
      return await readAnswer(response, request.id);
    } catch {
      return BROKEN_ANSWER;
    }
  }
}

async function readAnswer(
  response: undici.Dispatcher.ResponseData,
  id: number,
): Promise<Answer> {
  const { statusCode: status, headers } = response;
  let text: string;
  try {
    text = await response.body.text();
  } catch {
    return { ...BROKEN_ANSWER, status };
  }
  if (headers["content-type"] === "application/problem+json") {
    const { reason } = JSON.parse(text) as { reason: string };
    const run = String(headers["hemlockwalk-run"] ?? "");
    return { status, reason, run, complete: true, mixed: false };
  }
  const mixed = status === 200 && Number(text.split(" ", 1)[0]) !== id;
  return { status, reason: "", run: "", complete: true, mixed };
}

let generator: LoadGenerator | undefined;

worker.serveCommands({
  startLoad(plan) {
    generator = new LoadGenerator(plan);
    return undefined;
  },
  setListeners({ listeners }) {
    generator?.setListeners(listeners);
    return undefined;
  },
  setLoadFactor({ workspace, factor }) {
    generator?.setLoadFactor(workspace, factor);
    return undefined;
  },
  async stopLoad() {
    await generator?.stop();
    return generator?.records ?? [];
  },
  reportProcess: worker.getProcessReport,
});
