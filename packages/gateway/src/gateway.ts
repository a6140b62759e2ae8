/**
 * The gateway as a service of the VM: startup, reaction to configuration changes, and shutdown.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import * as limits from "@hemlockwalk/limits";
import type * as model from "@hemlockwalk/model";
import * as targets from "@hemlockwalk/targets";
import * as connections from "./connections.ts";
import * as forwarding from "./forwarding.ts";
import * as listeners from "./listener.ts";
import * as meters from "./meters.ts";
import * as handlers from "./request_handler.ts";
import * as running from "./running_requests.ts";

/** Accepts callers' requests and forwards them to targets. */
export class Gateway implements kernel.Service {
  readonly #services: kernel.Kernel;
  readonly #settings: model.ListenerSettings;
  readonly #logger: kernel.ComponentLogger;
  readonly #meters: meters.GatewayMeters;
  readonly #running = new running.RunningRequests();
  readonly #listener: listeners.Listener;
  #connections: connections.ConnectionTable | undefined;
  #requestHandler: handlers.RequestHandler | undefined;

  /**
   * @param services The kernel that provides the services which the gateway uses.
   * @param settings The listener section of the settings.
   * @throws {tlsFiles.TlsStartError} When the TLS files cannot be used.
   */
  constructor(
    services: kernel.Kernel,
    settings: model.ListenerSettings,
    logger: kernel.ComponentLogger,
  ) {
    this.#services = services;
    this.#settings = settings;
    this.#logger = logger;
    const metrics = services.get(kernel.METRICS);
    this.#meters = new meters.GatewayMeters(metrics);
    metrics.createGauge(
      "hemlockwalk_running_requests",
      "Requests whose response is not complete.",
      () => this.#running.count,
    );
    metrics.createGauge(
      "hemlockwalk_open_target_connections",
      "Open connections from this VM to targets.",
      () => this.#connections?.size ?? 0,
    );
    this.#listener = new listeners.Listener(
      settings,
      (request, response, wantsContinue) => {
        const handler = kernel.getDefined(
          this.#requestHandler,
          "The handler exists once the listener is open.",
        );
        void handler.handle(request, response, wantsContinue);
      },
      this.#running,
      this.#meters,
      logger,
    );
  }

  /** The port that the listener is bound to. */
  get port(): number {
    return this.#listener.port;
  }

  async start(): Promise<void> {
    const pool = this.#services.get(targets.TARGET_POOL);
    const queue = this.#services.get(limits.FAIR_QUEUE);
    pool.onCapacity((service) => queue.notifyCapacity(service));
    const table = new connections.ConnectionTable(
      pool,
      (event) => this.#meters.countConnection(event),
    );
    this.#connections = table;
    this.#requestHandler = new handlers.RequestHandler(this.#services, {
      forwarder: new forwarding.Forwarder(pool, queue, table, this.#meters),
      running: this.#running,
      meters: this.#meters,
      settings: this.#settings,
      logger: this.#logger,
    });
    this.#services.get(configuration.CONFIGURATION).onChange((change) => {
      this.#withdrawKeys(change.withdrawnKeys);
      table.closeRemoved(change.current);
    });
    await this.#listener.start();
  }

  /**
   * Keeps serving while the balancer still sends requests to this VM, closing each connection after
   * its response, then closes the listener and waits until the last response is complete.
   */
  async drain(): Promise<void> {
    this.#requestHandler?.startClosing();
    await kernel.sleepAndHandleInput(this.#settings.drainLagMilliseconds);
    await this.#listener.close();
  }

  stop(): void {
    this.#listener.stop();
    this.#connections?.close();
  }

  #withdrawKeys(digests: readonly model.KeyDigest[]): void {
    let ended = 0;
    for (const digest of digests) {
      ended += this.#running.withdrawKey(digest);
    }
    if (ended > 0) {
      this.#meters.withdrawnRequests.inc(ended);
      this.#logger.info("Ended the running requests of withdrawn keys.", { ended });
    }
  }
}

/** The name under which the gateway is registered in the kernel. */
export const GATEWAY = kernel.createServiceName<Gateway>("gateway");
