/** A machine is stopped while it holds back the answer to a request that was sent behind another. */

import * as path from "node:path";
import process from "node:process";
import * as url from "node:url";
import * as clients from "../lib-2/client.mjs";
import * as configs from "../lib-2/config.mjs";
import * as servers from "../lib-2/server.mjs";
import * as systems from "../lib-2/system.mjs";

const SERVICE = "huvo11a";
const GRACE_MILLISECONDS = 6_000;

/** The longest work of `rota-check`, which is excused if it lasts until the end of the grace. */
const LONG_MILLISECONDS = 6_800;
const SHORT_MILLISECONDS = 600;
const DEADLINE_MILLISECONDS = 15_000;

/** The SIGTERM comes so long after the requests. */
const STOP_MILLISECONDS = 300;

const CLIENTS = 3;

/** With TROUBLE=0 the same is played without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

const folder = path.dirname(url.fileURLToPath(import.meta.url));

await systems.runCase(folder, hasTrouble, async (system, trouble) => {
  /** Times at which servers have answered, by id. */
  const answeredAt = new Map();
  const work = async (server, { response, id, request }) => {
    await systems.sleep(request.url === "/rota/long" ? LONG_MILLISECONDS : SHORT_MILLISECONDS);
    if (response.socket === null || response.socket.destroyed) {
      server.record(`finds the connection of ${id} closed`);
      return;
    }
    response.writeHead(200, { ...servers.createAnswerHead(id), "Content-Length": 400 });
    response.end(Buffer.alloc(400, "x"));
    answeredAt.set(id, system.now);
    server.record(`has answered ${id}`);
  };
  system.configure(configs.createConfig([{
    name: "r-rota",
    prefix: "/rota/",
    kind: "idempotent",
    slo: "4000ms",
    timeout: "8000ms",
    service: SERVICE,
  }]));
  const zones = ["be-north-a", "be-north-b", "be-north-c"];
  for (const zone of zones) {
    await system.addServer(
      new servers.Server({ system, service: SERVICE, zone, slots: 6, queue: 24, work }),
    );
  }
  await system.startMachines(zones);
  await systems.sleep(3_000);

  const [machine] = system.machines;
  const create = (name) => {
    const id = clients.createRequestId();
    const text = clients.createRequest({
      method: "GET",
      path: `/rota/${name}`,
      host: configs.HOST,
      id,
      deadline: DEADLINE_MILLISECONDS,
      key: configs.KEY,
    });
    return { id, text };
  };
  const sent = [];
  for (let index = 0; index < CLIENTS; index++) {
    const connection = await clients.open(machine);
    const first = create("long");
    const second = create("short");
    connection.send(first.text + second.text);
    system.record(`a client sends ${first.id} and, behind it, ${second.id} to ${machine.name}`);
    sent.push({ connection, first, second });
  }
  await systems.sleep(STOP_MILLISECONDS);
  if (trouble) {
    machine.terminate(GRACE_MILLISECONDS);
  }
  let lost = 0;
  await Promise.all(sent.map(async ({ connection, first, second }) => {
    await connection.waitForResponses(2, 12_000);
    const endedAt = system.now;
    const [firstAnswer, secondAnswer] = connection.responses;
    system.record(
      `the client has status ${firstAnswer?.status ?? "none"} for ${first.id} and ` +
        `${secondAnswer?.status ?? "none"} for ${second.id}; ` +
        `its connection: ${connection.ending ?? "open"}`,
    );
    // The first request is excused: its server is at work in the last sixth of the grace.
    const at = answeredAt.get(second.id);
    if (secondAnswer?.isComplete !== true && at !== undefined) {
      lost++;
      system.record(
        `${second.id} was answered by its server ${Math.round(endedAt - at)} ms before`,
      );
    }
  }));
  return {
    isBroken: lost > 0,
    summary:
      `${lost > 0 ? "LOST broken" : "held"}: ${lost} of ${CLIENTS} requests that were passed ` +
      "on and answered by their servers had no answer when their connection ended",
  };
});
