/** The operator's configuration of the cases: one host, one workspace, and routes as given. */

export const HOST = "ficu95.example";
export const KEY = "2b9wu3fexd9dnn2ctnfz";
export const TENANT = "huka270";

/**
 * @param routes `{ name, prefix, kind, slo, service, timeout, attempts, priority }`; times as text.
 */
export function createConfig(routes, version = "00000007") {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    version,
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 67108864,
      header_timeout: "3000ms",
      idle_timeout: "15000ms",
    },
    tenants: [
      { name: TENANT, api_keys: [KEY], priority: 1, rate_per_s: 0, burst: 0 },
    ],
    listeners: [
      {
        host: HOST,
        rules: routes.map(({ name, prefix, kind, slo, service, timeout, attempts, priority }) => ({
          name,
          kind,
          slo,
          priority: priority ?? 1,
          public: false,
          match: { prefix },
          action: { service, timeout, attempts: attempts ?? 2 },
        })),
      },
    ],
    clusters: services.map((name) => ({
      name,
      health_path: "/healthz",
      max_conns: 330,
      protocol: "h1",
      tls: false,
    })),
  };
}
