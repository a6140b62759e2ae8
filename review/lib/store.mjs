/**
 * Stand-in for the platform's store: items, pages and watches, as PROTOCOL.md describes them.
 */

import * as http from "node:http";
import { drawLoopbackHost } from "./fleet.mjs";

const PAGE_ITEMS = 500;

/** Keeps items in memory; nothing is lost while it runs. */
export class Store {
  #items = new Map();
  #history = [];
  #revision = 10;
  #watchers = new Set();
  #server = http.createServer((request, response) => void this.#answer(request, response));
  address;

  async start() {
    const host = drawLoopbackHost();
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(key, document) {
    const value = Buffer.from(JSON.stringify(document)).toString("base64");
    const revision = ++this.#revision;
    const created = this.#items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease: 0 };
    this.#items.set(key, item);
    this.#record(item);
  }

  delete(key) {
    this.#items.delete(key);
    this.#record({ key, revision: ++this.#revision, deleted: true });
  }

  #record(event) {
    this.#history.push(event);
    for (const wake of this.#watchers) {
      wake();
    }
  }

  async #answer(request, response) {
    response.on("error", () => undefined);
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const send = (status, document) => {
      response.writeHead(status, { "Content-Type": "application/json" });
      response.end(JSON.stringify({ ...document, as_of: this.#revision }));
    };
    if (pathname === "/-/kv-key") {
      const item = this.#items.get(searchParams.get("key"));
      send(item === undefined ? 404 : 200, item ?? {});
    } else if (pathname === "/-/kv-range") {
      const prefix = searchParams.get("prefix") ?? "";
      const after = searchParams.get("after") ?? "";
      const found = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => left.key < right.key ? -1 : 1);
      send(200, { items: found.slice(0, PAGE_ITEMS), truncated: found.length > PAGE_ITEMS });
    } else if (pathname === "/-/kv-watch") {
      const after = Number(searchParams.get("after"));
      const prefix = searchParams.get("prefix") ?? "";
      const list = () =>
        this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
      if (list().length === 0) {
        await this.#waitForChange(Number(searchParams.get("wait_ms")));
      }
      send(200, { events: list() });
    } else {
      response.writeHead(404).end();
    }
  }

  #waitForChange(milliseconds) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#watchers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.#watchers.add(wake);
    });
  }
}

/** Creates a configuration with the limits of the site pitchwise-be. */
export function createConfiguration({ version, host, rules, tenants, services }) {
  return {
    version: version.toString(16).padStart(8, "0"),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: "3000ms",
      idle_timeout: "15000ms",
    },
    tenants,
    listeners: [{ host, rules }],
    clusters: services.map((name) => ({
      name,
      health_path: "/healthz",
      max_conns: 330,
      protocol: "h1",
      tls: false,
    })),
  };
}

/** Creates the entry that a backend writes about itself. */
export function createEntry({ address, service, state = "ready", seq = 1, born }) {
  return {
    address,
    info: { service, version: "v1", zone: "zone-a", slots: 6 },
    status: { state, seq, cold_left: "0ms" },
    born,
  };
}
