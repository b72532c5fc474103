// Tells the rules of answers (core/answer_form.h, core/answer_end.h) what the
// parser and the connection of an answer know.

#ifndef HARECRANK_SRC_ADAPTERS_ANSWER_FACTS_H_
#define HARECRANK_SRC_ADAPTERS_ANSWER_FACTS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "harecrank/core/answer_end.h"
#include "harecrank/core/answer_form.h"

namespace harecrank {

// Returns what `head` tells. Beast has checked the grammar of its lines.
AnswerHead FactsOf(
    const boost::beast::http::response_header<boost::beast::http::fields>&
        head);

// Returns how the connection of `socket` ended, whose end was just read.
// `write_failed`: an operation that wrote the request has failed;
// `is_written`: all of the request was written.
ConnectionEnd AskEnd(boost::asio::ip::tcp::socket* socket, bool write_failed,
                     bool is_written);

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_ANSWER_FACTS_H_
