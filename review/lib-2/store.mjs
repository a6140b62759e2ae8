/** Stand-in of the platform's store: items with revisions, ranges and watches. */

import * as http from "node:http";

const PAGE_ITEMS = 500;

export class Store {
  #items = new Map();
  #history = [];
  #revision = 10;
  #waiting = new Set();
  #server = http.createServer((request, response) => this.#respond(request, response));

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  start() {
    return new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(key, document) {
    const revision = ++this.#revision;
    const created = this.#items.get(key)?.created ?? revision;
    const value = Buffer.from(JSON.stringify(document)).toString("base64");
    const item = { key, value, revision, created, lease: 0 };
    this.#items.set(key, item);
    this.#add(item);
  }

  delete(key) {
    this.#items.delete(key);
    this.#add({ key, revision: ++this.#revision, deleted: true });
  }

  #add(event) {
    this.#history.push(event);
    for (const wake of [...this.#waiting]) {
      wake();
    }
  }

  async #respond(request, response) {
    const { pathname, searchParams } = new URL(request.url, "http://store.example");
    const send = (status, document) => {
      response.writeHead(status, { "Content-Type": "application/json", "Store-Era": "1" });
      response.end(document === undefined ? "" : JSON.stringify(document));
    };
    const prefix = searchParams.get("prefix") ?? "";
    if (pathname === "/-/kv-key") {
      const item = this.#items.get(searchParams.get("key"));
      send(item === undefined ? 404 : 200, item && { ...item, as_of: this.#revision });
    } else if (pathname === "/-/kv-range") {
      const after = searchParams.get("after") ?? "";
      const found = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      const items = found.slice(0, PAGE_ITEMS);
      send(200, { items, truncated: found.length > items.length, as_of: this.#revision });
    } else if (pathname === "/-/kv-watch") {
      const after = Number(searchParams.get("after"));
      const list = () =>
        this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
      if (list().length === 0) {
        await this.#wait(Number(searchParams.get("wait_ms")));
      }
      send(200, { events: list(), as_of: this.#revision });
    } else {
      send(404);
    }
  }

  #wait(milliseconds) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.#waiting.add(wake);
    });
  }
}
