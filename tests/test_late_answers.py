"""Late second answers of endpoints, on connections that are used again."""

from cassiahaven_standins.answer_framing import ConnectionFraming, LengthFraming
from cassiahaven_standins.platform_endpoint import (
    EndpointHandler,
    PlatformEndpoint,
    endpoint_answer,
)
from cassiahaven_standins.platform_fleet import platform_fleet


class _PartOfALateAnswer(EndpointHandler):
    """Send a part of a late answer in front of the next one on the connection."""

    earlier = ""

    def respond(self, request, body):
        headers = {"Request-Id": request, "Response-Signature": f"sig-{request}"}
        whole = endpoint_answer(self.state.service, self.path, body)
        if not self.earlier:
            self.earlier = request
            self.wfile.write(LengthFraming().encode("200 OK", headers, whole).data)
            return
        late = headers | {"Content-Length": "10", "Request-Id": self.earlier, "Server-Load": "1,0"}
        head = "\r\n".join(f"{name}: {value}" for name, value in late.items())
        answer = ConnectionFraming(closes=True).encode("200 OK", headers, whole)
        self.wfile.write(f"HTTP/1.1 200 OK\r\n{head}".encode() + answer.data)
        self.close_connection = True


def test_part_of_a_late_answer_does_not_shorten_the_next_one_on_its_connection(tmp_path):
    # The entry took the length of the late answer for that of the next one, and the caller got a
    # shorter answer that looked whole.
    with platform_fleet(tmp_path, entries=1) as fleet:
        endpoint = PlatformEndpoint("i-1", "one", "a", handler=_PartOfALateAnswer)
        fleet.endpoint_by_name["i-1"] = endpoint
        fleet.store.state.put("servers", "i-1", endpoint.registration())
        fleet.configure({"x": "one"})
        fleet.start()
        answers = [
            fleet.call(fleet.entries[0], "GET", f"/safe/x/{n}", request=f"r{n}") for n in range(8)
        ]
    wrong = [
        (status, body)
        for n, (status, body, _) in enumerate(answers)
        if status == 200 and body != endpoint_answer("one", f"/safe/x/{n}", b"")
    ]
    assert wrong == []
