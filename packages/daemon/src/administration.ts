/**
 * The admin listener: serves health, readiness, metrics and the status of this VM.
 */

import * as http from "node:http";
import type * as net from "node:net";
import * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";

/** Serves the admin endpoints to operators and the platform's balancer. */
export class Administration implements kernel.Service {
  readonly #services: kernel.Kernel;
  readonly #address: string;
  readonly #server: http.Server;

  constructor(services: kernel.Kernel, address: string) {
    this.#services = services;
    this.#address = address;
    this.#server = http.createServer((request, response) => {
      void this.#answer(request, response).catch((error: Error) => {
        // Reports the error to the operator. A failing endpoint must not end the process.
        if (response.headersSent) {
          response.destroy();
          return;
        }
        sendJson(response, 500, { error: error.message });
      });
    });
  }

  /** The port that the listener is bound to. */
  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  async start(): Promise<void> {
    const socketAddress = kernel.getDefined(
      model.splitSocketAddress(this.#address),
      "Addresses in settings have been validated.",
    );
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(socketAddress.port, socketAddress.host, resolve);
    });
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.method !== "GET" && request.method !== "HEAD") {
      sendJson(response, 405, { error: "Only GET and HEAD are answered." });
      return;
    }
    switch ((request.url ?? "/").split("?", 1)[0]) {
      case "/health":
        sendJson(response, 200, { healthy: true });
        return;
      case "/ready":
        this.#answerReady(response);
        return;
      case "/metrics":
        await this.#answerMetrics(response);
        return;
      case "/status":
        sendJson(response, 200, this.#getStatus());
        return;
      default:
        sendJson(response, 404, { error: "Not found." });
    }
  }

  #answerReady(response: http.ServerResponse): void {
    const ready = this.#services.state === "running" &&
      this.#services.get(configuration.CONFIGURATION).isReady();
    sendJson(response, ready ? 200 : 503, { ready });
  }

  async #answerMetrics(response: http.ServerResponse): Promise<void> {
    const { registry } = this.#services.get(kernel.METRICS);
    response.setHeader("content-type", registry.contentType);
    response.end(await registry.metrics());
  }

  #getStatus(): object {
    const membership = this.#services.get(fleet.MEMBERSHIP);
    const configurationService = this.#services.get(configuration.CONFIGURATION);
    return {
      vm: membership.self.vm,
      incarnation: membership.self.incarnation,
      dataCentre: membership.self.dataCentre,
      state: this.#services.state,
      configuration: configurationService.getStatus?.() ?? null,
      members: membership.listMembers(),
    };
  }
}

function sendJson(response: http.ServerResponse, status: number, body: object): void {
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(body));
}

/** The name under which the admin listener is registered in the kernel. */
export const ADMINISTRATION = kernel.createServiceName<Administration>("administration");
