"""The demonstration: streamed prompts, a prompt that returns, a service call,
a filing sent twice; prints what happened."""

import argparse
import json
import sys

import cluster


def chat_rows(fleet):
    """A long file, a question, and the same file again with another one."""
    household = "Household 4711: rice 35 kg, five members. " * 400
    turns = [("first question", "Is a coupon due this month?"),
             ("question after a pause", "And for kerosene?"),
             ("other workspace, same file", "Is a coupon due this month?")]
    rows = []
    for i, (what, question) in enumerate(turns):
        workspace = "ward-2" if i == 2 else "ward-1"
        messages = [{"role": "system", "content": household},
                    {"role": "user", "content": question}]
        got = fleet.chat(i % 2, workspace, messages, max_tokens=24)
        expected = cluster.answer_text(messages, 24)
        usage = got["usage"] or {}
        details = usage.get("prompt_tokens_details", {})
        rows.append({
            "what": what, "workspace": workspace,
            "whole": got["done"] and got["text"] == expected,
            "first_token_ms": got.get("first_token_ms"),
            "tokens": usage.get("completion_tokens"),
            "prompt_tokens": usage.get("prompt_tokens"),
            "cached_tokens": details.get("cached_tokens"),
            "imported_tokens": details.get("imported_tokens")})
    return rows


def service_rows(fleet):
    status, _, text = fleet.call_service(0, "ward-1", "balance", {"card": 7})
    rows = [{"what": "balance (idempotent)", "status": status,
             "answer": json.loads(text)}]
    for entry in (0, 1):
        status, headers, text = fleet.call_service(
            entry, "ward-1", "issue", {"card": 7, "kg": 5}, key="coupon-7-12")
        rows.append({"what": f"issue through entry {entry + 1}",
                     "status": status, "answer": json.loads(text)})
    return rows


def executions(fleet):
    total = {}
    for upstream in fleet.upstreams:
        if upstream["kind"] != "service":
            continue
        _, _, text = cluster.call(
            upstream["upstream"], "GET", "/control/executions")
        for key, count in json.loads(text).items():
            total[key] = total.get(key, 0) + count
    return total


def print_summary(summary):
    print("prompts")
    for row in summary["prompts"]:
        print(f"  {row['what']:28} workspace={row['workspace']} "
              f"whole={row['whole']} first_token_ms="
              f"{row['first_token_ms']:.1f} tokens={row['tokens']} "
              f"prompt={row['prompt_tokens']} cached={row['cached_tokens']} "
              f"imported={row['imported_tokens']}")
    print("services")
    for row in summary["services"]:
        print(f"  {row['what']:28} status={row['status']} "
              f"answer={json.dumps(row['answer'])}")
    print(f"executions of the filing: {summary['filing_executions']}")


def print_curl(fleet):
    entry = fleet.entry_addresses[0]
    key = fleet.key_of("ward-1")
    print(f"""
Running until Enter is pressed. Try:
  curl -N http://{entry}/v1/chat/completions -H 'Authorization: Bearer {key}' \\
    -d '{{"model":"{cluster.MODEL}","stream":true,"messages":[{{"role":"user","content":"hello"}}]}}'
  curl http://{entry}/v1/services/{cluster.SERVICE}/balance -H 'Authorization: Bearer {key}' -d '{{"card":7}}'
  curl http://{fleet.admin_addresses[0]}/metrics""")
    sys.stdin.readline()


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--json", metavar="FILE")
    options.add_argument("--keep", action="store_true")
    asked = options.parse_args()
    with cluster.Cluster(engines=2, services=2, entries=2) as fleet:
        fleet.wait_ready()
        summary = {"prompts": chat_rows(fleet), "services": service_rows(fleet)}
        summary["filing_executions"] = executions(fleet).get("coupon-7-12", 0)
        print_summary(summary)
        if asked.json:
            with open(asked.json, "w", encoding="utf-8") as file:
                json.dump(summary, file, indent=2)
        if asked.keep:
            print_curl(fleet)
    whole = all(row["whole"] for row in summary["prompts"])
    return 0 if whole and summary["filing_executions"] <= 1 else 1


if __name__ == "__main__":
    sys.exit(main())
